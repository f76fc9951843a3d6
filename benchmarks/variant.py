"""A variant of the daemons: another placement policy, or other constants."""

import importlib
import re
from functools import partial

import msgspec

from banyanwheel_core.placement import SAMPLES, Placement

__all__ = ["UNCHANGED", "Variant"]

PATTERN = re.compile(r"(?P<name>[A-Za-z_.]+)=(?P<value>[a-z0-9.]+)")


class Variant(msgspec.Struct, frozen=True):
    """What differs from the daemons as they are.

    ``choice`` and ``samples`` are those of the placement; ``constants`` are module
    constants by their dotted names. A constant that is a default argument, or that
    another module has imported by name, keeps its value.
    """

    choice: str = "expected"
    samples: int = SAMPLES
    constants: dict[str, float] = {}

    def __str__(self):
        """The texts from which :meth:`parse` makes this variant."""
        return ",".join(
            [f"choice={self.choice}", f"samples={self.samples}"]
            + [f"{name}={value}" for name, value in self.constants.items()]
        )

    @classmethod
    def parse(cls, text):
        """Reads ``name=value`` parted by commas; raises ValueError for a fault."""
        fields, constants = {}, {}
        for part in filter(None, text.split(",")):
            match = PATTERN.fullmatch(part)
            if match is None:
                raise ValueError(f"'{part}' is not of the form name=value")
            name, value = match["name"], match["value"]
            if name == "choice":
                fields[name] = value
            elif name == "samples":
                fields[name] = int(value)
            else:
                constants[name] = float(value)
        return cls(**fields, constants=constants)

    def apply(self, agent):
        """Puts the variant in force in this process's module ``agent``."""
        options = {"choice": self.choice, "samples": self.samples}
        agent.Placement = partial(Placement, **options)
        for dotted, value in self.constants.items():
            module_name, _, name = dotted.rpartition(".")
            module = importlib.import_module(module_name)
            kind = type(getattr(module, name))
            setattr(module, name, kind(value))


UNCHANGED = Variant()
