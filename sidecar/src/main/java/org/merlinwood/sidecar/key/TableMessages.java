package org.merlinwood.sidecar.key;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.idempotency.HomeSpan;
import org.merlinwood.decision.idempotency.KeyState;
import org.merlinwood.decision.idempotency.KeyTableEntry;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.decision.idempotency.SealedTable;
import org.merlinwood.decision.idempotency.StoredResponse;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.Header;
import org.merlinwood.wire.TableEntry;
import org.merlinwood.wire.TablePart;

/** Converts key tables to messages and back. Stateless. */
final class TableMessages {

    private static final long MAXIMUM_PART_BYTES = 2 << 20;
    private static final int FIXED_ENTRY_BYTES = 256;
    private static final int RAN = 1;
    private static final int RAN_EVICTED = 2;
    private static final int UNKNOWN = 3;

    private TableMessages() {}

    /** Splits a table into parts that stay below the frame size limit, and marks the last one. */
    static List<TablePart> toParts(SealedTable table, TablePart heading) {
        List<TablePart> parts = new ArrayList<>();
        TablePart.Builder part = heading.toBuilder();
        long bytes = 0;
        for (KeyTableEntry entry : table.entries()) {
            long size = FIXED_ENTRY_BYTES
                    + entry.response().map(StoredResponse::bytes).orElse(0L);
            if (bytes > 0 && bytes + size > MAXIMUM_PART_BYTES) {
                parts.add(part.build());
                part = heading.toBuilder();
                bytes = 0;
            }
            part.addEntries(toWire(entry));
            bytes += size;
        }
        parts.add(part.setLast(true).build());
        return parts;
    }

    static TablePart heading(SealedTable table) {
        return TablePart.newBuilder()
                .setHome(table.home().value())
                .setIncarnation(table.incarnation().value())
                .setSealed(true)
                .setServedSinceAgeMillis(table.completeMillis())
                .setSealedAgeMillis(table.sealedMillis())
                .addAllCustodians(
                        table.holders().stream().map(InstanceName::value).toList())
                .build();
    }

    static org.merlinwood.wire.HomeSpan toWire(HomeSpan span) {
        return org.merlinwood.wire.HomeSpan.newBuilder()
                .setFromRevision(span.fromRevision())
                .setToRevision(span.toRevision())
                .addAllHomes(span.homes().stream().map(InstanceName::value).toList())
                .setEndedAgeMillis(span.endedAgeMillis())
                .build();
    }

    static SealedTable fromParts(List<TablePart> parts) {
        TablePart first = parts.getFirst();
        List<KeyTableEntry> entries = parts.stream()
                .flatMap(part -> part.getEntriesList().stream())
                .map(TableMessages::fromWire)
                .toList();
        return new SealedTable(
                new InstanceName(first.getHome()),
                new Incarnation(first.getIncarnation()),
                entries,
                first.getServedSinceAgeMillis(),
                first.getSealedAgeMillis(),
                first.getCustodiansList().stream().map(InstanceName::new).collect(Collectors.toSet()));
    }

    static List<HomeSpan> spans(TablePart part) {
        return part.getHomesList().stream()
                .map(span -> new HomeSpan(
                        span.getFromRevision(),
                        span.getToRevision(),
                        span.getHomesList().stream().map(InstanceName::new).collect(Collectors.toSet()),
                        span.getEndedAgeMillis()))
                .toList();
    }

    private static TableEntry toWire(KeyTableEntry entry) {
        TableEntry.Builder message = TableEntry.newBuilder()
                .setKey(entry.key().key().value())
                .setCaller(entry.key().caller().value())
                .setFingerprint(ByteString.copyFrom(entry.fingerprint().digest()))
                .setState(toNumber(entry.state()))
                .setAgeMillis(entry.ageMillis());
        entry.response().ifPresent(response -> {
            AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(response.status());
            response.headers()
                    .forEach(header -> head.addHeaders(
                            Header.newBuilder().setName(header.name()).setValue(header.value())));
            message.setHead(head).setBody(ByteString.copyFrom(response.body()));
        });
        return message.build();
    }

    private static KeyTableEntry fromWire(TableEntry message) {
        KeyState state = toKeyState(message.getState());
        return new KeyTableEntry(
                new ScopedKey(new CallerName(message.getCaller()), new IdempotencyKey(message.getKey())),
                Fingerprint.of(message.getFingerprint().toByteArray()),
                state,
                message.getAgeMillis(),
                state == KeyState.RAN ? Optional.of(storedResponse(message)) : Optional.empty());
    }

    private static StoredResponse storedResponse(TableEntry message) {
        List<StoredResponse.StoredHeader> headers = message.getHead().getHeadersList().stream()
                .map(header -> new StoredResponse.StoredHeader(header.getName(), header.getValue()))
                .toList();
        return new StoredResponse(
                message.getHead().getStatus(), headers, message.getBody().toByteArray());
    }

    private static int toNumber(KeyState state) {
        return switch (state) {
            case RAN -> RAN;
            case RAN_EVICTED -> RAN_EVICTED;
            case RUNNING, UNKNOWN -> UNKNOWN;
        };
    }

    /**
     * A state number that this release doesn't know is read as an unknown outcome, because the request may have run.
     */
    private static KeyState toKeyState(int number) {
        return switch (number) {
            case RAN -> KeyState.RAN;
            case RAN_EVICTED -> KeyState.RAN_EVICTED;
            default -> KeyState.UNKNOWN;
        };
    }
}
