package org.merlinwood.configuration.document;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.rules.KeyDemand;
import org.merlinwood.configuration.rules.Repeatability;
import org.merlinwood.configuration.rules.Rules;

/** Validation of rules: which documents are rejected, and the defaults of absent columns. */
class RulesReaderTest {

    private static final String DIGEST = "ab".repeat(32);
    private static final String OTHER_DIGEST = "cd".repeat(32);
    private static final String DOCUMENT = """
            {
              "services": [
                {"name": "s", "kind": "model", "timeoutSeconds": 9},
                {"name": "t", "kind": "plain"}
              ],
              "routes": [
                {"method": "GET", "path": "/a/*", "service": "t", "repeatability": "idempotent"},
                {"method": "POST", "path": "/b", "service": "t"}
              ],
              "classes": [{"name": "c", "priority": 1, "firstTokenTargetMillis": 900, "betweenTokensTargetMillis": 90}],
              "callers": [
                {"name": "x", "callerClass": "c", "tokenDigest": "DIGEST"},
                {"name": "y", "callerClass": "c", "tokenDigest": "OTHER"}
              ],
              "limits": {"grantMillis": 500}
            }
            """.replace("DIGEST", DIGEST).replace("OTHER", OTHER_DIGEST);

    @Test
    void absentColumnsTakeTheirDefaults() {
        Rules rules = read(DOCUMENT).get();

        assertThat(rules.services().get(0).timeoutMillis()).isEqualTo(9_000);
        assertThat(rules.routes().get(1).repeatability()).isEqualTo(Repeatability.NON_IDEMPOTENT);
        assertThat(rules.routes().get(1).keyDemand()).isEqualTo(KeyDemand.OPTIONAL);
        assertThat(rules.limits().grantMillis()).isEqualTo(500);
        assertThat(rules.limits().retryHorizonMillis()).isEqualTo(600_000);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            "timeoutSeconds": 9 | "timeoutMinutes": 9     | services[0].timeoutMinutes | perhaps timeoutMillis was meant
            "timeoutSeconds": 9 | "timeoutSeconds": "9s"  | services[0].timeoutSeconds | (seconds)
            "timeoutSeconds": 9 | "timeoutSeconds": -9    | services[0].timeoutSeconds | from 1 to
            "timeoutSeconds": 9 | "timeoutSeconds": 9, "timeoutMillis": 9 | services[0].timeoutSeconds | keep either
            "timeoutSeconds": 9 | "timeoutSeconds": 700   | services                   | at least as long as a call
            "timeoutSeconds": 9 | "goodputWeight": 0, "wastedPrefillWeight": 0 | services[0].goodputWeight | positive
            "kind": "plain"     | "kind": "plain", "wastedPrefillWeight": 1 | services[1].wastedPrefillWeight | leave
            "name": "t", "kind" | "name": "s", "kind"     | services[1].name           | one row for each service
            "/b", "service": "t" | "/b", "service": "s"   | routes[1].service          | routes lead to plain services
            "/b", "service": "t" | "/b", "service": "u"   | routes[1].service          | defined are s, t
            "POST", "path": "/b" | "GET", "path": "/a/b"  | routes[1].path             | move the row above
            "path": "/b"        | "path": "b"             | routes[1].path             | begin with /
            "path": "/b"        | "path": "/*/b"          | routes[1].path             | at the end only
            "path": "/b"        | "path": "/merlinwood/keys" | routes[1].path          | another path
            "method": "POST"    | "method": "post"        | routes[1].method           | capitals
            "idempotent"        | "idempotent", "keyDemand": "required" | routes[0].keyDemand | non-idempotent
            "idempotent"        | "harmless"              | routes[0].repeatability    | "idempotent", "non-idempotent"
            "priority": 1       | "priority": 10          | classes[0].priority        | from 0 to 9
            "priority": 1       | "priority": 1, "share": 0 | classes[0].share         | at least 0.001
            "x", "callerClass": "c" | "x", "callerClass": "d" | callers[0].callerClass | defined are c
            "name": "y"         | "name": "x"             | callers[1].name            | one row for each caller
            "tokenDigest": "cd  | "tokenDigest": "CD      | callers[1].tokenDigest     | lower case
            "grantMillis": 500  | "grantMillis": 5000, "deadlineSeconds": 2 | limits.grantMillis | at most deadlineMillis
            "grantMillis": 500  | "retryHorizonSeconds": 60, "deadlineSeconds": 90 | limits.deadlineMillis | at most
            "grantMillis": 500  | "clockBoundSeconds": 600 | limits.clockBoundMillis | shorter than retryHorizonMillis
            "grantMillis": 500  | "retryBudgetPercent": 101 | limits.retryBudgetPercent | from 0 to 100
            """)
    void invalidValueIsReportedWithARemedy(String original, String replacement, String path, String remedy) {
        DocumentErrors errors = read(DOCUMENT.replace(original, replacement)).getLeft();

        assertThat(errors.errors())
                .anySatisfy(error -> assertThat(error.path()).isEqualTo(path))
                .anySatisfy(error -> assertThat(error.remedy()).contains(remedy));
    }

    @Test
    void sharedTokenDigestIsRejected() {
        String text = DOCUMENT.replace(OTHER_DIGEST, DIGEST);

        assertThat(read(text).getLeft().toString())
                .contains("callers[1].tokenDigest")
                .contains("its own token");
    }

    private static Either<DocumentErrors, Rules> read(String text) {
        return RulesReader.read("rules.json", 3, text);
    }
}
