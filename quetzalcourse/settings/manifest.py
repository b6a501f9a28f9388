"""Validation of the manifest that operators write in TOML."""

from __future__ import annotations

import tomllib
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, Literal

from pydantic import Field, ValidationError, model_validator
from result import Err, Ok, Result

from quetzalcourse.settings.faults import SettingFault, list_faults
from quetzalcourse.settings.process import Address, SettingsModel
from quetzalcourse.state import manifest as state

if TYPE_CHECKING:
    from pathlib import Path


Reference = tuple[str, str, set[str]]


class ClientAccountModel(SettingsModel):
    """Limits and share of a client account."""

    weight: float = Field(default=1.0, gt=0)
    requests_per_second: float = Field(default=1000.0, gt=0)
    concurrent: int = Field(default=1000, gt=0)
    queued: int = Field(default=1000, ge=0)


class KeyModel(SettingsModel):
    """A granted key; the manifest has only the hash of its secret."""

    client_account: str
    sha256: str = Field(pattern='^[0-9a-f]{64}$')


class TrainerModel(SettingsModel):
    """A trainer and the model that its steps sample."""

    client_account: str
    model: str
    staleness_bound: int = Field(default=1, ge=0)
    scored: bool = False
    scoring_repeatable: bool = True


class UpstreamModel(SettingsModel):
    """An engine or a service, and its capacity."""

    kind: Literal['engine', 'service']
    data_centre: str
    address: Address
    slots: int = Field(default=8, gt=0)
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    human_headroom: int = Field(default=0, ge=0)
    cheap: bool = False
    checks_fencing: bool = True
    price_per_hour: float = Field(default=0.0, ge=0)

    @model_validator(mode='after')
    def check_parts(self) -> UpstreamModel:
        """Reject values that contradict each other."""
        if self.human_headroom >= self.slots:
            raise ValueError('human_headroom must be below slots')
        if self.kind == 'engine' and not self.models:
            raise ValueError('an engine needs models')
        return self


class ServiceModel(SettingsModel):
    """A service without a model, and the upstreams that serve it."""

    upstreams: tuple[str, ...] = Field(min_length=1)
    repeatable_methods: frozenset[str] = frozenset(('GET', 'HEAD'))


class MaintenanceModel(SettingsModel):
    """Maintenance window in which an upstream gets no requests."""

    upstream: str
    starts: datetime
    ends: datetime

    @model_validator(mode='after')
    def check_order(self) -> MaintenanceModel:
        """Reject a window that ends before it starts."""
        if self.starts.tzinfo is None or self.ends.tzinfo is None:
            raise ValueError('times need an offset, such as Z')
        if self.ends <= self.starts:
            raise ValueError('ends must be after starts')
        return self


class ServiceLevelModel(SettingsModel):
    """A service level objective with its error budget."""

    indicator: Literal[
        'human_latency',
        'human_success',
        'steps_on_time',
        'staleness',
        'reports_on_time',
    ]
    objective: float = Field(gt=0, lt=1)
    threshold_seconds: float | None = Field(default=None, gt=0)
    period_days: float = Field(default=28.0, gt=0)


class FleetKindModel(SettingsModel):
    """A kind of upstream that the fleet controller can order."""

    price_per_hour: float = Field(ge=0)
    tokens_per_second: float = Field(gt=0)
    cheap: bool = False
    data_centres: tuple[str, ...] = Field(min_length=1)
    largest: int = Field(default=100, gt=0)


class FleetModel(SettingsModel):
    """Limits and budget for ordering upstreams.

    :param kinds: kinds that can be ordered; nothing is ordered if empty.
    :param utilisation: target share of the capacity in use.
    :param slack: share by which demand must have fallen before upstreams
        are released.
    :param cool_down_seconds: time between a change and a release.
    :param largest_change: most upstreams of a kind and data centre to change
        at once.
    :param notice_seconds: time that the platform gives upstreams to drain.
    :param budget_period_hours: period over which the budget applies.
    """

    budget_per_hour: float = Field(default=0.0, ge=0)
    smallest: int = Field(default=0, ge=0)
    largest: int = Field(default=0, ge=0)
    kinds: dict[str, FleetKindModel] = {}
    utilisation: float = Field(default=0.8, gt=0, le=1)
    slack: float = Field(default=0.15, ge=0)
    cool_down_seconds: float = Field(default=600.0, ge=0)
    largest_change: int = Field(default=4, gt=0)
    notice_seconds: float = Field(default=300.0, ge=0)
    budget_period_hours: float = Field(default=24.0, gt=0)

    @model_validator(mode='after')
    def check_order(self) -> FleetModel:
        """Reject limits that contradict each other."""
        if self.smallest > self.largest:
            raise ValueError('smallest must not be above largest')
        if self.kinds and not self.budget_per_hour:
            raise ValueError('kinds need a budget_per_hour to be ordered')
        if self.kinds and all(kind.cheap for kind in self.kinds.values()):
            raise ValueError('kinds need one that is not cheap, for humans')
        return self


class ManifestModel(SettingsModel):
    """Complete manifest."""

    client_accounts: dict[str, ClientAccountModel] = {}
    keys: dict[str, KeyModel] = {}
    trainers: dict[str, TrainerModel] = {}
    upstreams: dict[str, UpstreamModel] = {}
    services: dict[str, ServiceModel] = {}
    maintenance: tuple[MaintenanceModel, ...] = ()
    service_levels: dict[str, ServiceLevelModel] = {}
    fleet: FleetModel = FleetModel()


def load_manifest(path: Path) -> Result[state.Manifest, list[SettingFault]]:
    """Read and validate a manifest file.

    :param path: the TOML file.
    :returns: the manifest without a version, or all errors.
    """
    try:
        text = path.read_text()
    except OSError as error:
        return Err([SettingFault(str(path), '', str(error))])
    return parse_manifest(text, str(path))


def parse_manifest(
    text: str,
    file: str,
) -> Result[state.Manifest, list[SettingFault]]:
    """Validate the text of a manifest.

    :param text: TOML document.
    :param file: file name in errors.
    :returns: the manifest without a version, or all errors.
    """
    try:
        model = ManifestModel.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Err([SettingFault(file, '', str(error))])
    except ValidationError as error:
        return Err(list_faults(file, error))
    faults = check_references(model, file)
    if faults:
        return Err(faults)
    return Ok(convert_manifest(model))


def check_references(model: ManifestModel, file: str) -> list[SettingFault]:
    """Find references to names that no section declares.

    :param model: manifest whose fields are valid.
    :param file: file name in errors.
    """
    models = {
        name
        for upstream in model.upstreams.values()
        for name in upstream.models
    }
    references = [
        *_list_account_references(model),
        *_list_upstream_references(model),
    ]
    references.extend(
        (f'trainers.{name}.model', trainer.model, models)
        for name, trainer in model.trainers.items()
    )
    return [
        SettingFault(file, key, f'{wanted!r} is not declared')
        for key, wanted, declared in references
        if wanted not in declared
    ]


def _list_account_references(model: ManifestModel) -> list[Reference]:
    accounts = set(model.client_accounts)
    sections: dict[str, dict[str, Any]] = {
        'keys': model.keys,
        'trainers': model.trainers,
    }
    return [
        (f'{section}.{name}.client_account', part.client_account, accounts)
        for section, parts in sections.items()
        for name, part in parts.items()
    ]


def _list_upstream_references(model: ManifestModel) -> list[Reference]:
    upstreams = set(model.upstreams)
    references = [
        (f'services.{name}.upstreams', upstream, upstreams)
        for name, service in model.services.items()
        for upstream in service.upstreams
    ]
    references.extend(
        (f'maintenance.{index}.upstream', window.upstream, upstreams)
        for index, window in enumerate(model.maintenance)
    )
    return references


def convert_manifest(model: ManifestModel) -> state.Manifest:
    """Convert a validated manifest into the state's data classes."""
    return state.Manifest(
        client_accounts={
            name: state.ClientAccount(name, **account.model_dump())
            for name, account in model.client_accounts.items()
        },
        keys={
            name: state.KeyHash(name, key.client_account, key.sha256)
            for name, key in model.keys.items()
        },
        trainers={
            name: state.Trainer(name, **trainer.model_dump())
            for name, trainer in model.trainers.items()
        },
        upstreams={
            name: convert_upstream(name, upstream)
            for name, upstream in model.upstreams.items()
        },
        services={
            name: state.Service(name, **service.model_dump())
            for name, service in model.services.items()
        },
        maintenance=tuple(
            state.MaintenanceWindow(**window.model_dump())
            for window in model.maintenance
        ),
        service_levels={
            name: convert_service_level(name, level)
            for name, level in model.service_levels.items()
        },
        fleet=convert_fleet(model.fleet),
    )


def convert_fleet(model: FleetModel) -> state.FleetPlan:
    """Convert validated fleet settings into their data class."""
    return state.FleetPlan(
        budget_per_hour=model.budget_per_hour,
        smallest=model.smallest,
        largest=model.largest,
        kinds={
            name: state.FleetKind(name, **kind.model_dump())
            for name, kind in model.kinds.items()
        },
        utilisation=model.utilisation,
        slack=model.slack,
        cool_down=timedelta(seconds=model.cool_down_seconds),
        largest_change=model.largest_change,
        notice=timedelta(seconds=model.notice_seconds),
        budget_period=timedelta(hours=model.budget_period_hours),
    )


def convert_upstream(name: str, model: UpstreamModel) -> state.Upstream:
    """Convert a validated upstream into its data class."""
    fields = model.model_dump() | {'kind': state.UpstreamKind(model.kind)}
    return state.Upstream(name, **fields)


def convert_service_level(
    name: str,
    model: ServiceLevelModel,
) -> state.ServiceLevel:
    """Convert a validated service level into its data class."""
    threshold = None
    if model.threshold_seconds is not None:
        threshold = timedelta(seconds=model.threshold_seconds)
    return state.ServiceLevel(
        name,
        model.indicator,
        model.objective,
        threshold,
        timedelta(days=model.period_days),
    )
