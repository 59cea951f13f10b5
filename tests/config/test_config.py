"""The reader of configurations and host lists: valid files, mistakes and former names."""

import shlex

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.config import ConfigurationError, read_configuration, read_hosts
from gaproute.config.directives.process import DecisionsLine
from gaproute.config.parsing import PLAIN_LINE_PATTERN
from gaproute.decisions.routing import Gateway
from gaproute.interface import Idempotency, IdempotencyScope

VALID_TEXT = """
name g1   # a comment
listen kserve 127.0.0.1:0
track a pure contract 1200ms limit 5s earnings 3
track b receipted group rack remembers 2500ms contract 800ms limit 2.5s
model m track a lanes 4 load 1200ms versions 1,2
host h1 unix:/tmp/h1 zone z rack r capacity 4 started 2026-01-01T00:00:00Z
"""


def mistakes_by_line(text):
    with pytest.raises(ConfigurationError) as caught:
        read_configuration("f", text)
    return [(mistake.line, str(mistake)) for mistake in caught.value.mistakes]


def test_a_valid_file_becomes_routing_settings_in_nanoseconds():
    configuration = read_configuration("f", VALID_TEXT)
    a, b = configuration.routing_settings.request_classes
    assert (a.idempotency, a.latency_objective, a.hard_limit, a.priority_weight) == (
        Idempotency.IDEMPOTENT,
        1_200_000_000,
        5_000_000_000,
        3,
    )
    assert (b.idempotency, b.idempotency_scope, b.deduplication_window) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        IdempotencyScope.CELL,
        2_500_000_000,
    )
    assert configuration.models["m"].versions == ("1", "2")
    assert configuration.max_deadline == 5_000_000_000
    assert configuration.hosts[0].started == 1767225600 * 10**9


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("modle x track a", "did you mean model?"),
        ("model x track nope", "no track 'nope'"),
        ("model m track a", "is defined a second time"),
        ("model x track a lanes 0", "greater than or equal to 1"),
        ("model x track a lanes", "lanes has no value"),
        ("model x track a lanes 2 lanes 3", "lanes is given twice"),
        ("model x track a lames 2", "perhaps lanes"),
        ("model", "NAME is missing"),
        ("track c pure contract 9s limit 1s", "contract time is longer than the limit"),
        ("track c pure contract 1 limit 1s", "is not a duration"),
        ("track c pure contract nans limit 1s", "is not a duration"),
        ("track c receipted contract 1s limit 1s", "remembers"),
        ("track c odd contract 1s limit 1s", "'pure', 'receipted' or 'effectful'"),
        ("host h2 nowhere", "HOST:PORT"),
        ("host h2 127.0.0.1:1 capacity 0", "greater than 0"),
        ("host h2 127.0.0.1:1 started 2026-01-01", "has no UTC offset"),
        ("hosts-file x.list", "keep one of the two"),
        ("name again", "second time"),
        ("clients body 3q", "is not a size"),
        ("relays twins maybe", "neither yes nor no"),
        ("decisions gaproute.nothing:Gateway", "No module"),
        ('name "open', "close the quote"),
    ],
)
def test_each_mistake_is_reported_with_its_line_and_a_remedy(line, expected_text):
    mistakes = mistakes_by_line(VALID_TEXT + line + "\n")
    assert any(expected_text in text for _, text in mistakes), mistakes
    assert mistakes[0][0] in (0, 8, 7)
    assert all("; " in text for _, text in mistakes)


@pytest.mark.parametrize(
    ("line", "field", "found"),
    [
        ("model x track a lanes none", "model: lanes", "not 'none'"),
        ("track c odd contract 1s limit 1s", "track: effect", "not 'odd'"),
        ("clients body 3q", "clients: body", "'3q' is not a size"),
        ("model x track nope", "model x", "no track 'nope'"),
        ("name again", "name", "a second time"),
    ],
)
def test_a_mistake_has_its_file_line_field_what_was_found_and_what_is_expected(line, field, found):
    with pytest.raises(ConfigurationError) as error:
        read_configuration("f", VALID_TEXT + line + "\n")
    (mistake,) = error.value.mistakes
    assert (mistake.file, mistake.line, mistake.field) == ("f", 8, field)
    assert found in mistake.found
    assert mistake.expected
    assert str(mistake).startswith("f:8: ")


def test_an_invalid_peer_line_beside_a_peers_file_is_reported():
    mistakes = [text for _, text in mistakes_by_line(VALID_TEXT + "peers-file p.list\npeer g2\n")]
    assert any("WHERE is missing" in text for text in mistakes)
    assert any("peer lines and a peers-file line exclude each other" in text for text in mistakes)


def test_all_mistakes_are_reported_in_the_order_of_lines():
    mistakes = mistakes_by_line("modl\ntrack x\nlisten kserve y\n")
    assert [line for line, _ in mistakes if line] == [1, 2, 3]


def test_a_host_list_with_a_duplicate_name_is_rejected():
    with pytest.raises(ConfigurationError):
        read_hosts("f", "host a 127.0.0.1:1\nhost a 127.0.0.1:2\n")
    assert [line.name for line in read_hosts("f", "host a 127.0.0.1:1 state draining\n")] == ["a"]


def test_an_unreadable_file_raises_a_configuration_error(tmp_path):
    (tmp_path / "bin").write_bytes(b"\xff\xfe\x00")
    for path in (tmp_path / "none", tmp_path / "bin", tmp_path):
        with pytest.raises(ConfigurationError):
            read_configuration(path)


@given(st.text(st.sampled_from("ab \t#'\"\\\x1f\x85\xa0=:,.-+/@%[]|&;<>()é"), max_size=20))
def test_a_line_is_split_into_arguments_as_a_shell_splits_it(raw):
    if PLAIN_LINE_PATTERN.fullmatch(raw):
        assert raw.split() == shlex.split(raw, comments=True)


@pytest.mark.parametrize("former", ["gaproute.policy:Gateway", "gaproute.decisions.route:Gateway"])
def test_a_configuration_that_names_the_decisions_by_a_former_name_loads_them(former):
    assert DecisionsLine(made_by=former).load_class() is Gateway
