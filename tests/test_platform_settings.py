import pytest

from corianderrill.platform import settings

TEXT = """
node_name = "front-1"
zone = "zone-a"
colour = "red"
[listen]
front = "10.1.0.39:8226"
ready_addr = "10.1.0.39:8227"
[bounds]
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
retry_ratio = 0.2
retry_slack = 58
[platform]
address = "10.200.1.7:8229"
"""


def write(tmp_path, text):
    file = tmp_path / "boot.toml"
    file.write_text(text)
    return str(file)


def test_settings_hold_what_the_file_says(tmp_path):
    values = settings.read_settings(write(tmp_path, TEXT))
    assert (values.host, values.zone) == ("front-1", "zone-a")
    assert str(values.store_address) == "10.200.1.7:8229"
    assert values.bounds == settings.Bounds(3.0, 6.0, 3.0, 0.2, 58.0)


@pytest.mark.parametrize(
    "line", ['zone = "zone-a"', "drain_ms = 3000", 'address = "10.200.1.7:8229"']
)
def test_missing_field_is_named(tmp_path, line):
    name = line.split(" = ")[0]
    with pytest.raises(settings.SettingsError, match=name):
        settings.read_settings(write(tmp_path, TEXT.replace(line, "")))


def test_field_of_another_type_is_named(tmp_path):
    text = TEXT.replace("drain_ms = 3000", 'drain_ms = "soon"')
    with pytest.raises(settings.SettingsError, match=r"bounds\.drain_ms.*soon"):
        settings.read_settings(write(tmp_path, text))


def test_file_that_is_no_toml_names_its_path(tmp_path):
    path = write(tmp_path, "zone = ")
    with pytest.raises(settings.SettingsError, match="boot"):
        settings.read_settings(path)


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.delenv(settings.PATH_VARIABLE, raising=False)
    with pytest.raises(settings.SettingsError, match=settings.PATH_VARIABLE):
        settings.find_settings_path()
