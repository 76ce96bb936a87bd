"""Inject named faults into a fleet simulation."""

import asyncio

FAULT_DURATION_MS = 3_000.0
MIN_ROUTERS = 2
PAUSE_MS = 1_500.0
PAUSE_DETECTION_MS = 800.0


def pick_engine(fleet):
    busy = [
        engine
        for engine in fleet.engines.values()
        if engine.is_alive and (engine.model.running or engine.model.queued)
    ]
    return busy[-1] if busy else fleet.random.choice(list(fleet.engines.values()))


def schedule(delay_ms, work, *arguments):
    asyncio.get_running_loop().call_later(delay_ms / 1000.0, work, *arguments)


def inject_fault(fleet, caller, fault):
    engine = pick_engine(fleet)
    match fault:
        case "engine_death":
            engine.die()
            schedule(FAULT_DURATION_MS, engine.start)
        case "engine_pause":
            engine.unpaused.clear()
            schedule(FAULT_DURATION_MS, engine.unpaused.set)
        case "engine_stall":
            engine.is_stalled = True
            schedule(FAULT_DURATION_MS, setattr, engine, "is_stalled", False)
        case "engine_leaving":
            engine.is_leaving = True
            schedule(FAULT_DURATION_MS, setattr, engine, "is_leaving", False)
        case "silent_connection":
            engine.last_silent_connection = fleet.n_connections
        case "link_cut":
            link = (caller.router_id, engine.upstream.upstream_id)
            fleet.cut_links.add(link)
            schedule(FAULT_DURATION_MS, fleet.cut_links.discard, link)
        case "peers_cut":
            fleet.cut_routers.add(caller.router_id)
            schedule(FAULT_DURATION_MS, fleet.cut_routers.discard, caller.router_id)
        case "caller_connection_silent":
            caller.lose_connection()
        case "router_pause":
            pause_router(fleet, caller)
        case "router_death":
            kill_router(fleet, caller)
        case "engine_and_router_death":
            engine.die()
            schedule(FAULT_DURATION_MS, engine.start)
            kill_router(fleet, caller)


def pause_router(fleet, caller):
    router = fleet.routers.get(caller.router_id)
    running = [item for item in fleet.routers.values() if item.unpaused.is_set()]
    if router is None or len(running) <= MIN_ROUTERS:
        return
    router.unpaused.clear()
    schedule(PAUSE_MS, router.unpaused.set)
    for other in fleet.callers:
        if other.router_id == caller.router_id and not other.is_finished:
            other.lose_connection(PAUSE_DETECTION_MS)


def kill_router(fleet, caller):
    if len(fleet.routers) <= MIN_ROUTERS:
        return
    router_id = caller.router_id
    fleet.kill_router(router_id)
    for other in fleet.callers:
        if other.router_id == router_id and not other.is_finished:
            other.lose_connection()
