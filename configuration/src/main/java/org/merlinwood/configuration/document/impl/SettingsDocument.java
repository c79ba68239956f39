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

/** Reads the settings of a process. Stateless. Messages never contain a secret. */
public final class SettingsDocument {

    private static final int MAXIMUM_KEYS = 2;
    private static final int MAXIMUM_KEY_IDENTIFIER = 1_000_000;
    private static final int MAXIMUM_PORT = 65_535;
    private static final NetworkAddress PLACEHOLDER_ADDRESS = new NetworkAddress("0.0.0.0", 1);
    private static final String ADDRESS_REMEDY = "write IP:PORT, such as 10.0.1.7:7100";
    private static final String SECRET_SHAPE = "(?:[0-9A-Fa-f]{2}){" + SharedKey.MINIMUM_SECRET_BYTES + ",}";
    private static final SharedKey PLACEHOLDER_KEY = new SharedKey(0, "00".repeat(SharedKey.MINIMUM_SECRET_BYTES));

    private SettingsDocument() {}

    // ------------------------------------------------------------------ public API

    /**
     * Reads the settings of an entry.
     *
     * @param documentName name for messages
     * @param text the whole document
     * @return the settings, or everything that is wrong with them
     */
    public static Either<DocumentErrors, EntrySettings> readEntry(String documentName, String text) {
        return DocumentReading.read(documentName, text, SettingsDocument::entry);
    }

    /**
     * Reads the settings of a sidecar.
     *
     * @param documentName name for messages
     * @param text the whole document
     * @return the settings, or everything that is wrong with them
     */
    public static Either<DocumentErrors, SidecarSettings> readSidecar(String documentName, String text) {
        return DocumentReading.read(documentName, text, SettingsDocument::sidecar);
    }

    // ------------------------------------------------------------------ internals

    private static EntrySettings entry(RowReader document) {
        ProcessSettings process = process(document);
        NetworkAddress callerAddress = address(document, "callerAddress");
        refuseSameAddresses(
                document,
                List.of("peerAddress", "operatorAddress", "callerAddress"),
                List.of(process.peerAddress(), process.operatorAddress(), callerAddress));
        return new EntrySettings(process, callerAddress);
    }

    private static SidecarSettings sidecar(RowReader document) {
        ProcessSettings process = process(document);
        NetworkAddress upstreamAddress = address(document, "upstreamAddress");
        int guardPort = (int) document.whole("guardPort", 1, MAXIMUM_PORT);
        Optional<NetworkAddress> weightStore =
                document.optional("weightStore", NetworkAddress::parse, PLACEHOLDER_ADDRESS, ADDRESS_REMEDY);
        refuseSameAddresses(
                document,
                List.of("peerAddress", "operatorAddress", "upstreamAddress"),
                List.of(process.peerAddress(), process.operatorAddress(), upstreamAddress));
        refuseTakenGuardPort(document, process, guardPort);
        return new SidecarSettings(process, upstreamAddress, guardPort, weightStore);
    }

    private static ProcessSettings process(RowReader document) {
        return new ProcessSettings(
                new InstanceName(document.text("instance")),
                new FailureDomain(document.text("failureDomain")),
                address(document, "peerAddress"),
                address(document, "operatorAddress"),
                services(document),
                addresses(document, "seedPeers"),
                keys(document));
    }

    private static List<NetworkAddress> services(RowReader document) {
        List<NetworkAddress> services = addresses(document, "configurationService");
        if (services.isEmpty()) {
            document.refuse(
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
            if (row.isSound() && !identifiers.add(key.identifier())) {
                row.refuse("identifier", "another key has the identifier " + key.identifier(), "number keys apart");
            }
            keys.add(key);
        }
        if (keys.size() > MAXIMUM_KEYS) {
            document.refuse("keys", keys.size() + " keys are given", "keep the newest key and the one before it");
        }
        return keys;
    }

    private static SharedKey key(RowReader row) {
        int identifier = (int) row.whole("identifier", 1, MAXIMUM_KEY_IDENTIFIER);
        String secret = row.text("secretHexadecimal");
        row.refuseUnknown();
        if (!row.isSound()) {
            return PLACEHOLDER_KEY;
        }
        if (!secret.matches(SECRET_SHAPE)) {
            row.refuse(
                    "secretHexadecimal",
                    "it is not at least " + SharedKey.MINIMUM_SECRET_BYTES + " bytes in hexadecimal digits",
                    "write what 'openssl rand -hex " + SharedKey.MINIMUM_SECRET_BYTES + "' prints");
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

    private static void refuseSameAddresses(RowReader document, List<String> columns, List<NetworkAddress> addresses) {
        for (int later = 1; later < addresses.size(); later++) {
            int earlier = addresses.indexOf(addresses.get(later));
            if (earlier < later && !addresses.get(later).equals(PLACEHOLDER_ADDRESS)) {
                document.refuse(
                        columns.get(later),
                        addresses.get(later) + " is also the " + columns.get(earlier),
                        "give each its own port");
            }
        }
    }

    private static void refuseTakenGuardPort(RowReader document, ProcessSettings process, int guardPort) {
        boolean taken = process.peerAddress().port() == guardPort
                || process.operatorAddress().port() == guardPort;
        if (taken && document.has("guardPort")) {
            document.refuse(
                    "guardPort", "this process listens on " + guardPort + " for something else", "choose a free port");
        }
    }
}
