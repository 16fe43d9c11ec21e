"""Fills the settings templates of deploy/ as the platform's DEPLOY page describes."""
import json
import re

_TAG = re.compile(r'\{\{([#^/]?)([^{}|]+)(\|json)?\}\}')


def fill(template, fields):
    """Returns `template` with its tags replaced by values of `fields`, a nested dict."""
    text, rest = _fill(template, [fields], None)
    if rest:
        raise ValueError(f'unbalanced template near {rest[:40]!r}')
    return text


def _lookup(name, scopes):
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split('.'):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def _is_given(value):
    """A section stands for 0, but neither for false nor for an empty text or list."""
    return value is not None and value is not False and value != '' and value != []


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(str(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def _fill(template, scopes, section):
    out = []
    while True:
        tag = _TAG.search(template)
        if tag is None:
            return ''.join(out) + template, ''
        out.append(template[:tag.start()])
        kind, name, as_json = tag.groups()
        template = template[tag.end():]
        if kind == '/':
            if name != section:
                raise ValueError(f'{name} is closed, but {section} is open')
            return ''.join(out), template
        if kind == '#':
            body, template = _section(template, name, scopes)
            out.append(body)
        elif kind == '^':
            inner, template = _fill(template, scopes, name)
            out.append('' if _is_given(_lookup(name, scopes)) else inner)
        else:
            out.append(_text(_lookup(name, scopes), as_json))


def _section(template, name, scopes):
    value = _lookup(name, scopes)
    entries = value if isinstance(value, list) else ([value] if _is_given(value) else [])
    parts = []
    for number, entry in enumerate(entries):
        comma = '' if number + 1 == len(entries) else ','
        inner, _ = _fill(template.replace('{{,}}', comma), scopes + [entry], name)
        parts.append(inner)
    _, rest = _fill(template, scopes + [None], name)
    return ''.join(parts), rest
