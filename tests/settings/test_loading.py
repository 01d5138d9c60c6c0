"""Settings: defaults, flags that override the file, and a typed error for each invalid file."""

import tempfile
import unittest
from pathlib import Path

from pewtertack.settings import SettingKey, load_settings
from pewtertack.settings.errors import SettingError
from pewtertack.settings.schema import ProfileName, Settings
from pewtertack.settings.values import Address

VALID_FILE = """\
[node]
name = "yaba-1"
zone = "yaba"
region = "lagos"
[listen]
proxy = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
[source]
url = "http://127.0.0.1:9000/"
[machines]
url = "http://127.0.0.1:9001"
[peers]
key = "00112233445566778899aabbccddeeff"
seeds = ["127.0.0.2:7001"]
accepted_keys = ["ff112233445566778899aabbccddeeff"]
[limits]
stream_timeout = "500ms"
document_size = "64KiB"
"""

INVALID_FILES: dict[str, tuple[str, str, str]] = {
    # code: (old text, new text, key in the message)
    "settings-file-syntax": ("[node]", "[node", ""),
    "section-unknown": ("[limits]", "[limit]", "limit"),
    "section-type": ("[node]", "profile = 1\n[node]", "profile"),
    "section-missing": ('[source]\nurl = "http://127.0.0.1:9000/"\n', "", "source"),
    "key-unknown": ("region =", "regions =", "node.regions"),
    "key-missing": ('zone = "yaba"\n', "", "node.zone"),
    "value-type": ('"yaba-1"', "1", "node.name"),
    "value-range": ('"500ms"', '"0s"', "limits.stream_timeout"),
    "name-format": ('"yaba-1"', '"yaba 1"', "node.name"),
    "address-format": ('"127.0.0.1:7001"', '"127.0.0.1"', "listen.peer"),
    "address-host-name": ('"127.0.0.1:7001"', '"localhost:7001"', "listen.peer"),
    "address-port": ('"127.0.0.1:7001"', '"127.0.0.1:70010"', "listen.peer"),
    "address-not-advertisable": ('"127.0.0.1:7001"', '"0.0.0.0:7001"', "listen.peer"),
    "address-repeated": ('"127.0.0.1:7002"', '"127.0.0.1:7000"', "listen.proxy"),
    "url-format": ("http://127.0.0.1:9000/", "http://127.0.0.1:9000/?a=b", "source.url"),
    "url-scheme": ("http://127.0.0.1:9000/", "https://127.0.0.1:9000", "source.url"),
    "fleet-key-format": ("00112233", "hex", "peers.key"),
    "fleet-key-length": ("00112233", "", "peers.key"),
    "fleet-key-repeated": ('["ff', '["00', "peers.accepted_keys"),
    "profile-unknown": ("[limits]", '[profile]\nname = "slow"\n[limits]', "profile.name"),
    "duration-unit": ('"500ms"', '"500"', "limits.stream_timeout"),
    "size-unit": ('"64KiB"', '"64KB"', "limits.document_size"),
}


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.toml"

    def load(self, text: str, flags: dict[SettingKey, object] | None = None) -> Settings:
        self.path.write_text(text)
        return load_settings(self.path, flags)

    def test_valid_file_is_loaded_with_defaults(self) -> None:
        settings = self.load(VALID_FILE)
        self.assertEqual(settings.listen.peer, Address("127.0.0.1", 7001))
        self.assertEqual(settings.source.url.text, "http://127.0.0.1:9000")
        self.assertEqual(settings.limits.stream_timeout.seconds, 0.5)
        self.assertEqual(settings.limits.document_size.bytes, 65536)
        accepted = [key.secret.hex() for key in settings.peers.accepted_keys]
        self.assertEqual(accepted, ["ff112233445566778899aabbccddeeff"])
        self.assertIs(settings.profile.name, ProfileName.FAST)
        self.assertIsNone(settings.limits.drain_timeout)

    def test_without_a_proxy_address_the_node_only_replicates(self) -> None:
        self.assertIsNone(
            self.load(VALID_FILE.replace('proxy = "127.0.0.1:7000"\n', "")).listen.proxy
        )

    def test_flags_override_the_file(self) -> None:
        flags: dict[SettingKey, object] = {
            SettingKey("listen", "peer"): "[::1]:8001",
            SettingKey("peers", "seeds"): ["127.0.0.3:1"],
            SettingKey("limits", "streams"): "8",
        }
        settings = self.load(VALID_FILE, flags)
        self.assertEqual(str(settings.listen.peer), "[::1]:8001")
        self.assertEqual(settings.peers.seeds, (Address("127.0.0.3", 1),))
        self.assertEqual(settings.limits.streams, 8)

    def test_each_invalid_file_has_its_own_code_and_reports_file_key_and_accepted_values(
        self,
    ) -> None:
        self.assertGreaterEqual(len(INVALID_FILES), 20)
        for code, (old, new, key) in INVALID_FILES.items():
            with self.subTest(code):
                self.assertIn(old, VALID_FILE)
                with self.assertRaises(SettingError) as caught:
                    self.load(VALID_FILE.replace(old, new, 1))
                self.assertEqual(caught.exception.code, code)
                self.assertEqual(caught.exception.key, key)
                self.assertIn(str(self.path), str(caught.exception))
                self.assertRegex(str(caught.exception), "; accepted: .+")

    def test_unreadable_file(self) -> None:
        for path, code in ((self.path, "settings-file-unreadable"), (self.path.parent, None)):
            with self.subTest(path), self.assertRaises(SettingError) as caught:
                load_settings(path)
            self.assertEqual(caught.exception.code, code or "settings-file-unreadable")
        self.path.write_bytes(b"\xff\xfe")
        with self.assertRaises(SettingError) as caught:
            load_settings(self.path)
        self.assertEqual(caught.exception.code, "settings-file-encoding")

    def test_error_in_a_flag_reports_the_flag(self) -> None:
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE, {SettingKey("listen", "admin"): "host:1"})
        self.assertEqual(
            (caught.exception.location, caught.exception.key), ("flag", "listen.admin")
        )
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE, {SettingKey("limits", "streams"): "many"})
        self.assertEqual(caught.exception.code, "value-type")

    def test_retry_window_requires_a_ratio_or_slack(self) -> None:
        window = '[policies]\nretry_budget = "window"\n'
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE + window)
        self.assertEqual(caught.exception.code, "key-missing")
        self.assertIn("limits.retry_ratio", str(caught.exception))
        loaded = self.load(VALID_FILE + "retry_ratio = 0.2\n" + window)
        self.assertEqual(loaded.limits.retry_ratio, 0.2)

    def test_unknown_policy_is_rejected(self) -> None:
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE + '[policies]\nretry_budget = "all"\n')
        self.assertIn('"share", "window"', str(caught.exception))

    def test_number_of_accepted_keys_is_limited(self) -> None:
        keys = ", ".join(f'"{index:032x}"' for index in range(4))
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE.replace('["ff', f'[{keys}, "ff'))
        self.assertEqual(caught.exception.code, "value-range")

    def test_interval_of_part_times_has_a_minimum(self) -> None:
        self.assertIsNone(self.load(VALID_FILE).log.parts_every)
        interval = self.load(VALID_FILE + '[log]\nparts_every = "2s"\n').log.parts_every
        assert interval is not None
        self.assertEqual(interval.seconds, 2.0)
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE + '[log]\nparts_every = "10ms"\n')
        self.assertEqual(caught.exception.code, "value-range")
        self.assertIn("log.parts_every", str(caught.exception))

    def test_fleet_key_is_not_printed(self) -> None:
        self.assertNotIn("0011", repr(self.load(VALID_FILE)).lower())
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE.replace('"00112233445566778899aabbccddeeff"', '"77secret"'))
        self.assertNotIn("secret", str(caught.exception))
        with self.assertRaises(SettingError) as caught:
            self.load(VALID_FILE.replace('"00112233445566778899aabbccddeeff"', "778899"))
        self.assertNotIn("7788", str(caught.exception))
