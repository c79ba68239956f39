package org.merlinwood.benchmarks;

import java.util.List;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.time.ManualMillisClock;
import org.merlinwood.decision.idempotency.Fingerprint;
import org.merlinwood.decision.idempotency.KeyTable;
import org.merlinwood.decision.idempotency.KeyTableLimits;
import org.merlinwood.decision.idempotency.KeyedRequest;
import org.merlinwood.decision.idempotency.ScopedKey;
import org.merlinwood.decision.idempotency.StoredResponse;

/** Creates key tables with stored responses. Stateless and thread-safe. */
final class KeyTables {

    private static final long STORED_BYTES = 64 << 20;
    private static final long HORIZON_MILLIS = 600_000;
    private static final int RESPONSE_BYTES = 512;
    private static final int STATUS_CREATED = 201;

    private KeyTables() {}

    static KeyTable of(int entries) {
        KeyTable table = new KeyTable(new ManualMillisClock(1));
        table.configure(new KeyTableLimits(entries + 1, STORED_BYTES, HORIZON_MILLIS));
        for (int number = 0; number < entries; number++) {
            KeyedRequest request = request(number);
            table.begin(request);
            table.recordCompleted(
                    request.key(), new StoredResponse(STATUS_CREATED, List.of(), new byte[RESPONSE_BYTES]));
        }
        return table;
    }

    static KeyedRequest request(int number) {
        CallerName caller = new CallerName("workspace-%05d".formatted(number % PlannedFleet.CALLERS));
        IdempotencyKey key = new IdempotencyKey("01912d68-783e-7a9f-8f4e-%012d".formatted(number));
        return new KeyedRequest(new ScopedKey(caller, key), new Fingerprint("%064x".formatted(number)));
    }
}
