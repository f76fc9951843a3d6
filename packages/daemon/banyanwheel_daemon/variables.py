"""Settings that a service manager gives as environment variables.

They go before the settings file. The platform knows the limits of a machine and the
bounds of a deployment only at the start of a process, and not every platform has all.
"""

import dataclasses

from banyanwheel_core.errors import FindingsError
from banyanwheel_core.findings import Finding

__all__ = ["VARIABLES", "with_variables"]

# Section and key of the setting by variable; the values are whole numbers.
VARIABLES = {
    "BANYANWHEEL_EVACUATION_MS": ("jobs", "evacuation_ms"),
    "BANYANWHEEL_MAX_DESCRIPTORS": ("process", "max_descriptors"),
    "BANYANWHEEL_MEMORY_MB": ("process", "memory_mb"),
}


def with_variables(source, environ):
    """Returns a TomlSource with the settings that ``environ`` has a value for.

    An empty variable counts as absent. Raises FindingsError naming each variable that
    is no whole number.
    """
    data = dict(source.data)
    findings = []
    for variable, (section, key) in VARIABLES.items():
        text = environ.get(variable, "")
        if not text:
            continue
        try:
            data[section] = {**data.get(section, {}), key: int(text)}
        except ValueError:
            message = f"'{text[:40]}' is no whole number"
            findings.append(Finding(variable, message, "environment"))
    if findings:
        raise FindingsError(findings)
    return dataclasses.replace(source, data=data)
