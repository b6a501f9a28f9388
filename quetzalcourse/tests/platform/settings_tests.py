"""Tests of the settings file that the platform and operators write."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from quetzalcourse.platform.settings import load_file, translate_settings
from quetzalcourse.settings.rollout import LoadControl
from quetzalcourse.standins.rollout.documents import build_settings

TEMPLATE = Path(__file__).parents[3] / 'deploy' / 'settings.json'
PLACEHOLDER = '{{.|json}}'


def build_platform_settings() -> dict[str, object]:
    """Build the platform's settings of one daemon."""
    return build_settings('front-1', '127.0.0.1:7000', '127.0.0.1:7100')


def write(path: Path, content: object) -> Path:
    """Write a settings file."""
    path.write_bytes(msgspec.json.encode(content))
    return path


def test_load_control_is_off_unless_operators_switch_it_on(
    tmp_path: Path,
) -> None:
    path = write(tmp_path / 'local.yaml', build_platform_settings())
    settings = translate_settings(load_file(path).unwrap())
    assert settings.load_control == LoadControl()


def test_operators_switch_on_single_parts(tmp_path: Path) -> None:
    extended = {
        'load_control': {'step_triage': True},
        'platform_settings': build_platform_settings(),
    }
    path = write(tmp_path / 'local.yaml', extended)
    settings = translate_settings(load_file(path).unwrap())
    assert settings.vm == 'front-1'
    assert settings.load_control == LoadControl(step_triage=True)


@pytest.mark.parametrize(
    ('load_control', 'named'),
    [
        ({'queuing': True}, 'queuing'),
        ({'queueing': 'yes'}, 'queueing'),
        ({'shared_slots': 1}, 'shared_slots'),
    ],
)
def test_invalid_load_control_is_named(
    tmp_path: Path, load_control: dict[str, object], named: str
) -> None:
    extended = {
        'load_control': load_control,
        'platform_settings': build_platform_settings(),
    }
    path = write(tmp_path / 'local.yaml', extended)
    assert named in load_file(path).unwrap_err()


def test_settings_template_of_the_deployment_is_valid(tmp_path: Path) -> None:
    platform_settings = msgspec.json.encode(build_platform_settings()).decode()
    path = tmp_path / 'local.yaml'
    path.write_text(
        TEMPLATE.read_text().replace(PLACEHOLDER, platform_settings)
    )
    assert load_file(path).is_ok()
