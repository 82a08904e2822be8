"""Small HTTP client calls with a time limit, as the users' callers make them."""

import http.client
import json


def call(host, port, method, path, document=None, timeout_s=1.0, headers=None):
    """Call once on a new connection; return status, body and headers.

    :param document: body, or what its JSON is made of; ``None`` for none.
    :returns: status 0 without an answer.
    """
    body = b"" if document is None else document
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()
