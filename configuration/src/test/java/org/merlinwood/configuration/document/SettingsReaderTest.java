package org.merlinwood.configuration.document;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Validation of settings: which documents are rejected; no error message contains a secret. */
class SettingsReaderTest {

    private static final String SECRET = "5e".repeat(32);
    private static final String DOCUMENT = """
            {
              "instance": "i", "failureDomain": "a",
              "peerAddress": "127.0.0.1:1", "operatorAddress": "127.0.0.1:2", "upstreamAddress": "127.0.0.1:3",
              "guardPort": 4,
              "configurationService": ["127.0.0.1:5"],
              "keys": [{"identifier": 1, "secretHexadecimal": "SECRET"}]
            }
            """.replace("SECRET", SECRET);

    @Test
    void seedPeersAreOptional() {
        assertThat(SettingsReader.readSidecar("s.json", DOCUMENT)
                        .get()
                        .process()
                        .seedPeers())
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            127.0.0.1:3     | 127.0.0.1:2                | upstreamAddress      | is also the operatorAddress
            "guardPort": 4  | "guardPort": 1             | guardPort            | listens on 1
            "guardPort": 4  | "guardPort": 70000         | guardPort            | the number is 70000
            "guardPort": 4, | ''                         | guardPort            | missing
            ["127.0.0.1:5"] | []                         | configurationService | no address
            ["127.0.0.1:5"] | ["127.0.0.1"]              | configurationService | IP:PORT
            ["127.0.0.1:5"] | "127.0.0.1:5"              | configurationService | a text
            "instance": "i" | "instance": "i", "callerAddress": "127.0.0.1:9" | callerAddress | no such column
            "identifier": 1 | "identifier": 0            | keys[0].identifier   | the number is 0
            """)
    void invalidValueIsReported(String original, String replacement, String path, String problem) {
        DocumentErrors errors = SettingsReader.readSidecar("s.json", DOCUMENT.replace(original, replacement))
                .getLeft();

        assertThat(errors.errors()).anySatisfy(error -> {
            assertThat(error.path()).isEqualTo(path);
            assertThat(error.problem()).contains(problem);
        });
    }

    @Test
    void errorAboutSecretDoesNotContainIt() {
        String text = DOCUMENT.replace(SECRET, "beef" + SECRET.substring(5));

        assertThat(SettingsReader.readSidecar("s.json", text).getLeft().toString())
                .contains("keys[0].secretHexadecimal")
                .doesNotContain("beef");
    }

    @Test
    void duplicateKeyIdentifierIsRejected() {
        String key = "{\"identifier\": 1, \"secretHexadecimal\": \"" + SECRET + "\"}";

        assertThat(SettingsReader.readSidecar("s.json", DOCUMENT.replace(key, key + "," + key))
                        .getLeft()
                        .toString())
                .contains("keys[1].identifier");
    }
}
