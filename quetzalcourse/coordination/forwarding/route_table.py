"""Which route a request takes, and whom it runs for."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.state.routing import (
        AllowedRegions,
        AccountKeys,
        Route,
        RoutingManifest,
    )

    Listener = Callable[[RoutingManifest], None]

log = get_log('manifest')


class RouteTable:
    """The routing manifest that is in force."""

    def __init__(self) -> None:
        """Begin without a manifest."""
        self.manifest: RoutingManifest | None = None
        self._routes: dict[str, dict[str, Route]] = {}
        self._names: dict[str, Route] = {}
        self._holders: dict[bytes, AccountKeys] = {}
        self._account_regions: dict[str, AllowedRegions] = {}
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.manifest.version if self.manifest else 0

    @property
    def models(self) -> list[str]:
        """Models of all services, sorted."""
        if self.manifest is None:
            return []
        services = self.manifest.services.values()
        return sorted({model for one in services for model in one.models})

    def on_manifest(self, listener: Listener) -> None:
        """Call a listener with each manifest that comes into force."""
        self._listeners.append(listener)

    def adopt(self, manifest: RoutingManifest) -> bool:
        """Put a manifest into force if it is newer.

        A version that was in force never comes back: callers that saw its
        successor would find their routes and keys gone again.

        :returns: whether it is in force now.
        """
        if manifest.version <= self.version:
            return False
        self.manifest = manifest
        self._routes = {}
        for route in manifest.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._names = {route.name: route for route in manifest.routes}
        self._holders = {
            digest: holder
            for holder in manifest.accounts or ()
            for digest in holder.key_digests
        }
        self._account_regions = {
            holder.client_account: holder.allowed_regions
            for holder in manifest.accounts or ()
        }
        log.info(
            'Manifest in force.',
            version=manifest.version,
            routes=len(manifest.routes),
            keys=len(self._holders),
        )
        for listener in self._listeners:
            listener(manifest)
        return True

    def match(self, host: str, path: str) -> Route:
        """Find the route with the longest prefix that begins a path.

        :raises RefusedError: if there is none, or no manifest yet.
        """
        if self.manifest is None:
            raise RefusedError(_refuse_unready())
        prefixes = self._routes.get(host, {})
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        raise RefusedError(_refuse_unknown())

    def find(self, name: str) -> Route | None:
        """Find a route by its name."""
        return self._names.get(name)

    def find_account_regions(self, client_account: str) -> AllowedRegions:
        """Find the regions of a client account, ``None`` if any will do."""
        return self._account_regions.get(client_account)

    @property
    def restricts_regions(self) -> bool:
        """Whether any route or client account is bound to regions."""
        routes = self.manifest.routes if self.manifest else ()
        of_routes = any(route.allowed_regions is not None for route in routes)
        return of_routes or any(
            allowed is not None for allowed in self._account_regions.values()
        )

    def authenticate(self, key: str) -> AccountKeys | None:
        """Find the client account that a key acts for.

        :returns: ``None`` where no keys are asked for.
        :raises RefusedError: if no account has the key.
        """
        if self.manifest is None:
            raise RefusedError(_refuse_unready())
        if self.manifest.accounts is None:
            return None
        digest = hashlib.sha256(key.encode(errors='surrogateescape')).digest()
        holder = self._holders.get(digest)
        if holder is None:
            raise RefusedError(_refuse_key())
        return holder


def choose_service(route: Route, request_id: str) -> str:
    """Choose the service that a request goes to, by the targets' weights.

    :param request_id: the same id always goes to the same service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    place = xxhash.xxh32_intdigest(request_id.encode()) % max(total, 1)
    for target in route.targets:
        place -= target.weight
        if place < 0:
            return target.service
    return route.targets[-1].service


def _refuse_unready() -> Refusal:
    return Refusal(
        RefusalCode.not_ready,
        'The daemon has no manifest yet.',
        not_run=True,
        step='route',
    )


def _refuse_unknown() -> Refusal:
    return Refusal(
        RefusalCode.not_found,
        'No route leads there.',
        not_run=True,
        step='route',
    )


def _refuse_key() -> Refusal:
    return Refusal(
        RefusalCode.unauthenticated,
        'The key is not known.',
        not_run=True,
        step='authenticate',
    )
