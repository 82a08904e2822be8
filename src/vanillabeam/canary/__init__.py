"""Rollouts of a service's software version: trial, judgement, shift of the traffic."""
