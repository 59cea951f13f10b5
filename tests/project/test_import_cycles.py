"""No file of the program imports one that imports it, directly or through others, nor for type checking."""

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Cycles that may stay for now, as sorted module names, with the reason.
ALLOWED: dict[tuple[str, ...], str] = {}


def modules_of(root):
    """The modules of the package `gaproute` in this folder, by name."""
    modules = {}
    for path in sorted(root.glob("gaproute/**/*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        modules[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return modules


def imported_names(node, module, *, is_package):
    """What one statement imports: modules, or names that may be modules in a package."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    base = node.module or ""
    if node.level:
        package = module.split(".")[: None if is_package else -1]
        parents = package[: len(package) - node.level + 1]
        base = ".".join([*parents, *([base] if base else [])])
    return [f"{base}.{alias.name}" for alias in node.names]


def imports_of(module, path, modules):
    """The modules that a file imports anywhere: at its top, in functions, and for type checking."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        for name in imported_names(node, module, is_package=path.name == "__init__.py"):
            target = name if name in modules else name.rpartition(".")[0]
            if target in modules and target != module:
                found.add(target)
    return found


def find_cycles(root):
    """Groups of modules that reach one another, each sorted."""
    modules = modules_of(root)
    imports = {module: imports_of(module, path, modules) for module, path in modules.items()}
    reachable = {module: closure(module, imports) for module in modules}
    cycles = set()
    for module, reached in reachable.items():
        if module in reached:
            cycles.add(tuple(sorted(other for other in reached if module in reachable[other])))
    return cycles


def closure(module, imports):
    """All modules that are reached from this one."""
    reached, pending = set(), [module]
    while pending:
        for target in imports[pending.pop()] - reached:
            reached.add(target)
            pending.append(target)
    return reached


def test_no_file_imports_one_that_imports_it():
    cycles = find_cycles(ROOT)
    assert len(modules_of(ROOT)) > 300
    assert cycles == set(ALLOWED), "not listed, or listed and gone"
    assert all(ALLOWED.values()), "each has its reason"


def test_cycles_are_found_wherever_the_import_stands(tmp_path):
    sources = {
        "__init__": "",
        "top": "from gaproute import checked\n",
        "checked": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    import gaproute.top\n",
        "first": "def call():\n    from .second import name\n",
        "second": "from gaproute.third import other\n",
        "third": "import gaproute.first\n",
        "apart": "import gaproute.top\n",
    }
    package = tmp_path / "gaproute"
    package.mkdir()
    for name, source in sources.items():
        (package / f"{name}.py").write_text(source)
    assert find_cycles(tmp_path) == {
        ("gaproute.checked", "gaproute.top"),
        ("gaproute.first", "gaproute.second", "gaproute.third"),
    }
