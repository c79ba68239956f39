package org.merlinwood.configuration.document.impl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.document.DocumentErrors;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.configuration.settings.EntrySettings;
import org.merlinwood.configuration.settings.ProcessSettings;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.configuration.settings.SidecarSettings;
import org.merlinwood.core.identity.FailureDomain;
import org.merlinwood.core.identity.InstanceName;

/** Parses and validates the settings of a process. Error messages never contain a secret. Stateless. */
public final class SettingsDocument {

    private static final int MAXIMUM_KEYS = 2;
    private static final int MAXIMUM_KEY_IDENTIFIER = 1_000_000;
    private static final int MAXIMUM_PORT = 65_535;
    private static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("0.0.0.0", 1);
    private static final String ADDRESS_REMEDY = "write IP:PORT, such as 10.0.1.7:7100";
    private static final String SECRET_PATTERN = "(?:[0-9A-Fa-f]{2}){" + SharedKey.MINIMUM_SECRET_BYTES + ",}";
    private static final SharedKey PLACEHOLDER_KEY = new SharedKey(0, "00".repeat(SharedKey.MINIMUM_SECRET_BYTES));

    private SettingsDocument() {}

    /**
     * Parses and validates the settings of an entry.
     *
     * @param documentName name used in error messages
     * @param text the whole document
     * @return the settings, or all errors of the document
     */
    public static Either<DocumentErrors, EntrySettings> readEntry(String documentName, String text) {
        return DocumentReading.read(documentName, text, SettingsDocument::entry);
    }

    /**
     * Parses and validates the settings of a sidecar.
     *
     * @param documentName name used in error messages
     * @param text the whole document
     * @return the settings, or all errors of the document
     */
    public static Either<DocumentErrors, SidecarSettings> readSidecar(String documentName, String text) {
        return DocumentReading.read(documentName, text, SettingsDocument::sidecar);
    }

    private static EntrySettings entry(RowReader document) {
        ProcessSettings process = process(document);
        NetworkAddress callerAddress = address(document, "callerAddress");
        checkDistinctAddresses(
                document,
                List.of("peerAddress", "operatorAddress", "callerAddress"),
                List.of(process.peerAddress(), process.operatorAddress(), callerAddress));
        return new EntrySettings(process, callerAddress);
    }

    private static SidecarSettings sidecar(RowReader document) {
        ProcessSettings process = process(document);
        NetworkAddress upstreamAddress = address(document, "upstreamAddress");
        int guardPort = (int) document.wholeNumber("guardPort", 1, MAXIMUM_PORT);
        Optional<NetworkAddress> weightStore =
                document.optionalParsed("weightStore", NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY);
        checkDistinctAddresses(
                document,
                List.of("peerAddress", "operatorAddress", "upstreamAddress"),
                List.of(process.peerAddress(), process.operatorAddress(), upstreamAddress));
        checkGuardPort(document, process, guardPort);
        return new SidecarSettings(process, upstreamAddress, guardPort, weightStore);
    }

    private static ProcessSettings process(RowReader document) {
        return new ProcessSettings(
                new InstanceName(document.text("instance")),
                new FailureDomain(document.text("failureDomain")),
                address(document, "peerAddress"),
                address(document, "operatorAddress"),
                configurationServices(document),
                addresses(document, "seedPeers"),
                keys(document));
    }

    private static List<NetworkAddress> configurationServices(RowReader document) {
        List<NetworkAddress> services = addresses(document, "configurationService");
        if (services.isEmpty()) {
            document.reportError(
                    "configurationService",
                    "no address of the configuration service is given",
                    "list at least one, such as [\"10.0.0.2:8500\"]");
        }
        return services;
    }

    private static List<SharedKey> keys(RowReader document) {
        List<SharedKey> keys = new ArrayList<>();
        Set<Integer> identifiers = new HashSet<>();
        for (RowReader row : document.requiredRows("keys")) {
            SharedKey key = key(row);
            if (row.isValid() && !identifiers.add(key.identifier())) {
                row.reportError(
                        "identifier",
                        "another key has the identifier " + key.identifier(),
                        "give each key its own identifier");
            }
            keys.add(key);
        }
        if (keys.size() > MAXIMUM_KEYS) {
            document.reportError("keys", keys.size() + " keys are given", "keep only the two newest keys");
        }
        return keys;
    }

    private static SharedKey key(RowReader row) {
        int identifier = (int) row.wholeNumber("identifier", 1, MAXIMUM_KEY_IDENTIFIER);
        String secret = row.text("secretHexadecimal");
        row.reportUnknownColumns();
        if (!row.isValid()) {
            return PLACEHOLDER_KEY;
        }
        if (!secret.matches(SECRET_PATTERN)) {
            row.reportError(
                    "secretHexadecimal",
                    "it is not at least " + SharedKey.MINIMUM_SECRET_BYTES + " bytes in hexadecimal digits",
                    "use the output of 'openssl rand -hex " + SharedKey.MINIMUM_SECRET_BYTES + "'");
            return PLACEHOLDER_KEY;
        }
        return new SharedKey(identifier, secret);
    }

    private static NetworkAddress address(RowReader document, String column) {
        return document.parsed(column, NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY);
    }

    private static List<NetworkAddress> addresses(RowReader document, String column) {
        return document.parsedList(column, NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY);
    }

    private static void checkDistinctAddresses(
            RowReader document, List<String> columns, List<NetworkAddress> addresses) {
        for (int later = 1; later < addresses.size(); later++) {
            int earlier = addresses.indexOf(addresses.get(later));
            if (earlier < later && !addresses.get(later).equals(PLACEHOLDER_ADDRESS)) {
                document.reportError(
                        columns.get(later),
                        addresses.get(later) + " is also the " + columns.get(earlier),
                        "give each its own port");
            }
        }
    }

    private static void checkGuardPort(RowReader document, ProcessSettings process, int guardPort) {
        boolean inUse = process.peerAddress().port() == guardPort
                || process.operatorAddress().port() == guardPort;
        if (inUse && document.has("guardPort")) {
            document.reportError(
                    "guardPort", "this process listens on " + guardPort + " for something else", "choose a free port");
        }
    }
}
