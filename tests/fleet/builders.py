from vanillabeam.fleet import (
    Bounds,
    Deployment,
    Engine,
    FleetView,
    Route,
    RouteKind,
    Service,
    Share,
    Target,
    Workspace,
)

BOUNDS = Bounds(
    silence_s=4.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_floor=58.0,
    cold_factor=1.5,
    cold_requests=5.0,
    version_s=10.0,
)


def make_target(name="t-1", **changes):
    fields = {
        "born_ms": 1_000,
        "sequence": 1,
        "service": "llm",
        "address": f"10.0.0.{sum(name.encode()) % 250 + 1}:80",
        "data_centre": "a",
        "slots": 8,
    }
    return Target(name, **(fields | changes))


def make_route(**changes):
    fields = {
        "name": "orders",
        "host": "shop.example",
        "prefix": "/orders/",
        "kind": RouteKind.UNSAFE,
        "shares": (Share("llm", 1.0),),
        "timeout_s": 1.0,
    }
    return Route(**(fields | changes))


def make_deployment(**changes):
    fields = {
        "number": 7,
        "routes": (make_route(),),
        "services": {
            "llm": Service("llm", 90, cold_requests_s=8.0, engine=Engine(8, 1000))
        },
    }
    return Deployment(**(fields | changes))


def make_view(**changes):
    return FleetView(index=3, deployment=make_deployment())._replace(**changes)


def make_workspace(**changes):
    return Workspace("studio", ("key-1",))._replace(**changes)
