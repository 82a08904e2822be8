"""Conclusions from ended attempts: targets that ended, prompts that are barred."""
