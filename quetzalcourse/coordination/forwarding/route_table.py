"""Route lookup and API key authentication by the routing manifest."""

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
    """Indexes the routing manifest that is in force."""

    def __init__(self) -> None:
        """Start without a manifest."""
        self.manifest: RoutingManifest | None = None
        self._routes: dict[str, dict[str, Route]] = {}
        self._routes_by_name: dict[str, Route] = {}
        self._accounts_by_digest: dict[bytes, AccountKeys] = {}
        self._account_regions: dict[str, AllowedRegions] = {}
        self._account_priorities: dict[str, int] = {}
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Version in force, 0 without a manifest."""
        return self.manifest.version if self.manifest else 0

    @property
    def models(self) -> list[str]:
        """Names of the models of all services, sorted."""
        if self.manifest is None:
            return []
        services = self.manifest.services.values()
        return sorted(
            {model for service in services for model in service.models}
        )

    def on_manifest(self, listener: Listener) -> None:
        """Register a listener that is called with each applied manifest."""
        self._listeners.append(listener)

    def adopt(self, manifest: RoutingManifest) -> bool:
        """Apply a manifest if it is newer than the current one.

        An older version is never applied again: callers that used its
        successor would lose their routes and keys.

        :returns: whether it was applied.
        """
        if manifest.version <= self.version:
            return False
        self.manifest = manifest
        self._routes = {}
        for route in manifest.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._routes_by_name = {route.name: route for route in manifest.routes}
        self._accounts_by_digest = {
            digest: account
            for account in manifest.accounts or ()
            for digest in account.key_digests
        }
        self._account_regions = {
            account.client_account: account.allowed_regions
            for account in manifest.accounts or ()
        }
        self._account_priorities = {
            account.client_account: account.priority
            for account in manifest.accounts or ()
            if account.priority is not None
        }
        log.info(
            'Manifest in force.',
            version=manifest.version,
            routes=len(manifest.routes),
            keys=len(self._accounts_by_digest),
        )
        for listener in self._listeners:
            listener(manifest)
        return True

    def match(self, host: str, path: str) -> Route:
        """Find the route of a host with the longest prefix of a path.

        :raises RefusedError: if no route matches, or no manifest is loaded.
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
        return self._routes_by_name.get(name)

    def find_account_regions(self, client_account: str) -> AllowedRegions:
        """Find the regions of a client account, ``None`` if unrestricted."""
        return self._account_regions.get(client_account)

    def find_rank(self, route_name: str, client_account: str) -> int:
        """Find the rank of requests, 0 is the most urgent.

        The priority of a client account goes before that of the route.
        """
        priority = self._account_priorities.get(client_account)
        if priority is not None:
            return priority
        route = self.find(route_name)
        return route.priority if route is not None else 0

    @property
    def restricts_regions(self) -> bool:
        """Whether any route or client account is bound to regions."""
        routes = self.manifest.routes if self.manifest else ()
        by_route = any(route.allowed_regions is not None for route in routes)
        return by_route or any(
            allowed is not None for allowed in self._account_regions.values()
        )

    def authenticate(self, key: str) -> AccountKeys | None:
        """Find the client account of an API key.

        :returns: ``None`` if the manifest requires no keys.
        :raises RefusedError: if no account has the key.
        """
        if self.manifest is None:
            raise RefusedError(_refuse_unready())
        if self.manifest.accounts is None:
            return None
        account = self._accounts_by_digest.get(digest_key(key))
        if account is None:
            raise RefusedError(refuse_key())
        return account

    def is_key_valid(self, digest: bytes) -> bool:
        """Return whether the manifest in force accepts an API key.

        :param digest: SHA-256 of the key.
        """
        if self.manifest is None or self.manifest.accounts is None:
            return True
        return digest in self._accounts_by_digest


def digest_key(key: str) -> bytes:
    """Compute the SHA-256 of an API key."""
    return hashlib.sha256(key.encode(errors='surrogateescape')).digest()


def choose_service(route: Route, request_id: str) -> str:
    """Choose the service of a request by the weights of the route's targets.

    :param request_id: hashed, so that the same id always gets the same service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh32_intdigest(request_id.encode()) % max(total, 1)
    for target in route.targets:
        point -= target.weight
        if point < 0:
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


def refuse_key() -> Refusal:
    """Build the refusal of a request whose API key is not accepted."""
    return Refusal(
        RefusalCode.unauthenticated,
        'The key is not known.',
        not_run=True,
        step='authenticate',
    )
