import pytest

from plantainyoke.packet_node import FeatureSettings
from plantainyoke.platform import SettingsError, load_process_settings

TEXT = """
nodeName = "side-loft-1"
role = "agent"
machineClass = "side"
serves = ["side"]
ip = "10.1.0.12"
zone = "loft"
region = "casco"
internalPorts = [7720, 7735]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
bootstrap = true
heartbeatMs = 1200
app = "10.1.0.12:8165"
service = "huvo11a"
unknown = "ignored"
[zones]
loft = "casco"
wharf-shed = "casco"
elsewhere = "other"
[listen]
packetAddr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
ready = "10.1.0.12:8167"
[bounds]
coldOvershoot = 1.5
coldSlack = 5
graceS = 6
[platform]
address = "10.200.1.7:8169"
"""


def _load(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return load_process_settings(path)


class TestLoadProcessSettings:
    def test_agent_settings_are_translated(self, tmp_path):
        settings = _load(tmp_path, TEXT)
        assert settings.target_address == ("10.1.0.12", 8165)
        assert settings.target_output_address == ("10.1.0.12", 8162)
        assert (settings.cold_overshoot_factor, settings.cold_extra_flows_per_s) == (
            1.5,
            5.0,
        )
        assert settings.seeds == (0x0A01000A, 0x0A020028)
        assert settings.heartbeat_s == 1.2
        assert settings.is_bootstrap

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ('ip = "10.1.0.12"', ""),
            ("[7720, 7735]", "[7735, 7720]"),
            ("[7720, 7735]", "[7720]"),
            ('"10.200.1.7:8169"', '"store"'),
            ("heartbeatMs = 1200", 'heartbeatMs = "soon"'),
            ("[listen]", "[listen"),
            ("[platform]", "[features]\nunknown = false\n[platform]"),
            ("[platform]", "[features]\nlost_flow_probes = 0\n[platform]"),
        ],
    )
    def test_invalid_file_is_rejected_with_its_name(self, tmp_path, old, new):
        with pytest.raises(SettingsError, match=r"boot\.toml"):
            _load(tmp_path, TEXT.replace(old, new))

    def test_features_are_on_unless_they_are_turned_off(self, tmp_path):
        """Guards against a switch that operators set without an effect."""
        assert _load(tmp_path, TEXT).features == FeatureSettings()
        text = TEXT + "[features]\nlost_flow_probes = false\n"
        assert _load(tmp_path, text).features == FeatureSettings(lost_flow_probes=False)

    def test_missing_file_is_rejected(self, tmp_path):
        with pytest.raises(SettingsError):
            load_process_settings(tmp_path / "none.toml")

    @pytest.mark.parametrize("number", ["inf", "-inf", "nan", "-1", "1e300", "9" * 400])
    @pytest.mark.parametrize(
        "setting", ["heartbeatMs = 1200", "coldSlack = 5", "graceS = 6"]
    )
    def test_number_that_cannot_be_computed_with_is_rejected(
        self, tmp_path, setting, number
    ):
        # An infinite limit raised an error at the first flow of a cold target.
        name = setting.partition(" ")[0]
        with pytest.raises(SettingsError):
            _load(tmp_path, TEXT.replace(setting, f"{name} = {number}"))
