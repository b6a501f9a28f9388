"""Reference pages of settings and manifest, written from their models."""

from __future__ import annotations

import inspect
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, get_args, get_origin

from pydantic import BaseModel

from quetzalcourse.settings.manifest import ManifestModel
from quetzalcourse.settings.process import ProcessSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic.fields import FieldInfo

PAGES: dict[str, tuple[type[BaseModel], str]] = {
    'settings.md': (ProcessSettings, 'Settings of a daemon'),
    'manifest.md': (ManifestModel, 'Manifest'),
}
INTRODUCTION = (
    'Written by `make reference` from the models that check the file. '
    'An unknown key is a fault.'
)
BOUND_SYMBOLS = {'gt': '>', 'ge': '≥', 'lt': '<', 'le': '≤'}
TABLE_HEADER = '| key | type | default | bounds |\n| --- | --- | --- | --- |'


def render_page(model: type[BaseModel], title: str) -> str:
    """Write the reference page of a model.

    :param model: the model of a whole file.
    :param title: heading of the page.
    """
    parts = [f'# {title}', INTRODUCTION]
    parts.extend(render_sections(model, ''))
    return '\n\n'.join(parts) + '\n'


def render_sections(model: type[BaseModel], prefix: str) -> Iterator[str]:
    """Write a section for a model and for each model within it.

    :param prefix: dotted name of the section, empty for the whole file.
    """
    fields = model.model_fields
    plain = {
        name: field
        for name, field in fields.items()
        if find_model(field.annotation) is None
    }
    if prefix:
        yield f'## `{prefix}`'
        yield read_first_line(model)
    if plain:
        rows = [render_row(name, field) for name, field in plain.items()]
        yield '\n'.join([TABLE_HEADER, *rows])
    for name, field in fields.items():
        inner = find_model(field.annotation)
        if inner is not None:
            key = name_section(prefix, name, field.annotation)
            yield from render_sections(inner, key)


def read_first_line(model: type[BaseModel]) -> str:
    """Take the first line of a model's doc comment."""
    return (inspect.getdoc(model) or '').partition('\n')[0]


def render_row(name: str, field: FieldInfo) -> str:
    """Write one key as a row of its section's table."""
    default = 'required'
    if not field.is_required():
        default = f'`{render_default(field.default)}`'
    bounds = ', '.join(render_bound(bound) for bound in field.metadata)
    return (
        f'| `{name}` | {render_type(field.annotation)} | {default} | {bounds} |'
    )


def render_bound(bound: Any) -> str:
    """Write a bound in the signs that operators know."""
    for name, sign in BOUND_SYMBOLS.items():
        if hasattr(bound, name):
            return f'{sign} {getattr(bound, name)}'
    return clean_cell(str(bound))


def render_default(default: Any) -> str:
    """Write a default; sets in a fixed order."""
    if isinstance(default, frozenset):
        return repr(sorted(default))
    return repr(default)


def render_type(annotation: Any) -> str:
    """Write a type as operators know it from TOML."""
    if isinstance(annotation, type) and not get_args(annotation):
        return annotation.__name__
    return clean_cell(str(annotation).replace('typing.', ''))


def clean_cell(text: str) -> str:
    """Keep a text from ending its cell or changing with addresses."""
    if ' object at ' in text or '<function' in text:
        return 'IP number and port'
    return text.replace('|', 'or').replace('\n', ' ')


def find_model(annotation: Any) -> type[BaseModel] | None:
    """Find the model that an annotation is, or holds many of."""
    for part in (annotation, *get_args(annotation)):
        if isinstance(part, type) and issubclass(part, BaseModel):
            return part
    return None


def name_section(prefix: str, name: str, annotation: Any) -> str:
    """Name a section as it is written in TOML."""
    key = f'{prefix}.{name}' if prefix else name
    origin = get_origin(annotation)
    if origin is dict:
        return f'{key}.NAME'
    return f'[{key}]' if origin in {tuple, list} else key


def write_pages(folder: Path) -> None:
    """Write every reference page.

    :param folder: where the pages go.
    """
    for name, (model, title) in PAGES.items():
        (folder / name).write_text(render_page(model, title))


if __name__ == '__main__':
    write_pages(Path(sys.argv[1]))
