package org.merlinwood.replay.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.fake.DecodeStream;
import org.merlinwood.replay.fake.GrantListener;
import org.merlinwood.replay.fake.PendingGrantRequest;
import org.merlinwood.replay.fake.PrefillResult;
import org.merlinwood.replay.fake.PrefillWork;

/** Executes one attempt of a model request: grants, prefill, transfer and decode. Not thread-safe. */
final class ModelDispatch {

    private static final LoadObservation NO_LOAD = new LoadObservation(0, 1, 0, 0, 0, 0, false);

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;
    private final ModelAttempt attempt;
    private final Set<InstanceName> triedPrefills = new HashSet<>();
    private final Set<InstanceName> triedDecodes = new HashSet<>();
    private Optional<PendingGrantRequest> pendingRequest = Optional.empty();
    private Optional<PendingGrantRequest> decodeRequest = Optional.empty();
    private Optional<InstanceName> prefillInUse = Optional.empty();
    private Optional<InstanceName> decodeInUse = Optional.empty();
    private boolean decodeGranted;
    private boolean decodeExecuting;
    private Optional<PrefillResult> result = Optional.empty();

    ModelDispatch(FleetFakes fleet, RoutingDecisions decisions, ModelAttempt attempt) {
        this.fleet = fleet;
        this.decisions = decisions;
        this.attempt = attempt;
    }

    void start() {
        Optional<Long> refusal = decisions.refusal(attempt);
        if (refusal.isPresent()) {
            attempt.refuse(refusal.get());
            return;
        }
        attempt.onEnded(this::complete);
        attempt.onCacheMissing(this::cacheMissing);
        attempt.onLost(this::streamLost);
        requestFirstGrant();
    }

    private void requestFirstGrant() {
        if (decisions.reservesDecodeFirst()) {
            requestDecodeGrant();
        } else {
            requestPrefillGrant();
        }
    }

    private void requestDecodeGrant() {
        Optional<Instance> chosen = decisions.choose(InstanceRole.DECODE, attempt, triedDecodes);
        if (chosen.isEmpty()) {
            giveUp(NO_LOAD);
            return;
        }
        InstanceName name = chosen.get().name();
        decodeInUse = Optional.of(name);
        decisions.recordStart(InstanceRole.DECODE, name, attempt.decodePieces());
        PendingGrantRequest request =
                createRequest(InstanceRole.DECODE, attempt.decodePieces(), new DecodeListener(name));
        decodeRequest = Optional.of(request);
        fleet.decode(name).requestGrant(request);
    }

    private void decodeGranted(InstanceName name, LoadObservation load) {
        pendingRequest = Optional.empty();
        decisions.observe(InstanceRole.DECODE, name, load);
        if (attempt.isEnded()) {
            fleet.decode(name).release(decodeRequest.orElseThrow());
            return;
        }
        decodeGranted = true;
        if (result.isPresent()) {
            execute();
        } else {
            requestPrefillGrant();
        }
    }

    private void decodeFailed(InstanceName name, LoadObservation load) {
        if (attempt.isEnded()) {
            return;
        }
        endDecodeUse();
        triedDecodes.add(name);
        if (decisions.mayRetry()) {
            requestDecodeGrant();
        } else {
            giveUp(load);
        }
    }

    private void execute() {
        InstanceName name = decodeInUse.orElseThrow();
        PrefillResult cache = result.orElseThrow();
        decodeExecuting = true;
        boolean measured = !attempt.hasTokens();
        fleet.decode(name)
                .execute(new MeasuredStream(attempt, measured, cache, decisions), decodeRequest.orElseThrow(), cache);
    }

    private void cacheMissing() {
        if (!attempt.isEnded()) {
            decodeGranted = false;
            decodeExecuting = false;
            result = Optional.empty();
            endDecodeUse();
            retryFromStart(NO_LOAD);
        }
    }

    private void streamLost() {
        if (attempt.isEnded()) {
            return;
        }
        decodeInUse.ifPresent(name -> {
            decisions.markUnreachable(InstanceRole.DECODE, name);
            triedDecodes.add(name);
        });
        decodeGranted = false;
        decodeExecuting = false;
        result = Optional.empty();
        endDecodeUse();
        if (decisions.resumesStreams()) {
            retryFromStart(NO_LOAD);
        } else {
            attempt.fail();
        }
    }

    private void endDecodeUse() {
        decodeInUse.ifPresent(name -> decisions.recordEnd(InstanceRole.DECODE, name, attempt.decodePieces()));
        decodeInUse = Optional.empty();
    }

    private void requestPrefillGrant() {
        Optional<Instance> chosen = decisions.choose(InstanceRole.PREFILL, attempt, triedPrefills);
        if (chosen.isEmpty()) {
            giveUp(NO_LOAD);
            return;
        }
        InstanceName name = chosen.get().name();
        prefillInUse = Optional.of(name);
        decisions.recordStart(InstanceRole.PREFILL, name, attempt.prefillPieces());
        PendingGrantRequest request =
                createRequest(InstanceRole.PREFILL, attempt.prefillPieces(), new PrefillListener(name));
        PrefillWork work = new PrefillWork(
                attempt.promptTokens(),
                attempt.blocks(),
                attempt::recordPrefill,
                this::prefillDone,
                () -> prefillLost(name));
        fleet.prefill(name).requestGrant(request, work);
    }

    private void prefillGranted(InstanceName name, LoadObservation load) {
        pendingRequest = Optional.empty();
        decisions.observe(InstanceRole.PREFILL, name, load);
    }

    private void prefillDone(PrefillResult done) {
        long millis = TimeUnit.MICROSECONDS.toMillis(done.doneMicros() - done.startedMicros());
        decisions.recordPrefill(done.holder().instance().name(), attempt, done.computedTokens(), millis);
        endPrefillUse();
        if (attempt.isEnded()) {
            done.holder().releaseResult(done.bytes(), 0);
            return;
        }
        result = Optional.of(done);
        if (decodeGranted) {
            execute();
        } else {
            requestDecodeGrant();
        }
    }

    private void prefillLost(InstanceName name) {
        if (!attempt.isEnded()) {
            decisions.markUnreachable(InstanceRole.PREFILL, name);
            prefillFailed(name, NO_LOAD);
        }
    }

    private void prefillFailed(InstanceName name, LoadObservation load) {
        if (attempt.isEnded()) {
            return;
        }
        endPrefillUse();
        triedPrefills.add(name);
        if (decisions.mayRetry()) {
            requestPrefillGrant();
        } else {
            giveUp(load);
        }
    }

    private void endPrefillUse() {
        prefillInUse.ifPresent(name -> decisions.recordEnd(InstanceRole.PREFILL, name, attempt.prefillPieces()));
        prefillInUse = Optional.empty();
    }

    private PendingGrantRequest createRequest(InstanceRole role, int pieces, GrantListener listener) {
        PendingGrantRequest request = new PendingGrantRequest(
                pieces,
                attempt.callerClass().priority(),
                attempt.promptTokens(),
                decisions.latestStartMicros(role, attempt),
                listener);
        pendingRequest = Optional.of(request);
        return request;
    }

    private void retryFromStart(LoadObservation load) {
        if (decisions.mayRetry()) {
            requestFirstGrant();
        } else {
            giveUp(load);
        }
    }

    private void giveUp(LoadObservation load) {
        long retryAfterMillis = decisions.retryAfterMillis(load, attempt);
        if (attempt.hasTokens()) {
            attempt.fail();
        } else {
            attempt.refuse(retryAfterMillis);
        }
    }

    private void complete() {
        pendingRequest.ifPresent(PendingGrantRequest::withdraw);
        decodeInUse.ifPresent(name -> {
            if (decodeGranted && !decodeExecuting) {
                fleet.decode(name).release(decodeRequest.orElseThrow());
            }
        });
        endDecodeUse();
        endPrefillUse();
        decisions.recordEnd(attempt);
    }

    /** Handles the result of a request for decode memory. */
    private final class DecodeListener implements GrantListener {
        private final InstanceName name;

        DecodeListener(InstanceName name) {
            this.name = name;
        }

        @Override
        public void granted(LoadObservation load) {
            decodeGranted(name, load);
        }

        @Override
        public void refused(LoadObservation load) {
            decodeFailed(name, load);
            decisions.observe(InstanceRole.DECODE, name, load);
        }

        @Override
        public void unreachable() {
            decisions.markUnreachable(InstanceRole.DECODE, name);
            decodeFailed(name, NO_LOAD);
        }
    }

    /** Handles the result of a request for a prefill. */
    private final class PrefillListener implements GrantListener {
        private final InstanceName name;

        PrefillListener(InstanceName name) {
            this.name = name;
        }

        @Override
        public void granted(LoadObservation load) {
            prefillGranted(name, load);
        }

        @Override
        public void refused(LoadObservation load) {
            prefillFailed(name, load);
            decisions.observe(InstanceRole.PREFILL, name, load);
        }

        @Override
        public void unreachable() {
            decisions.markUnreachable(InstanceRole.PREFILL, name);
            prefillFailed(name, NO_LOAD);
        }
    }

    /** Reports the time from the end of the prefill to the first token to the decisions. */
    private static final class MeasuredStream implements DecodeStream {
        private final ModelAttempt attempt;
        private final PrefillResult cache;
        private final RoutingDecisions decisions;
        private boolean awaitsFirstToken;

        MeasuredStream(ModelAttempt attempt, boolean awaitsFirst, PrefillResult cache, RoutingDecisions decisions) {
            this.attempt = attempt;
            this.awaitsFirstToken = awaitsFirst;
            this.cache = cache;
            this.decisions = decisions;
        }

        @Override
        public boolean token(long nowMicros) {
            if (awaitsFirstToken) {
                awaitsFirstToken = false;
                decisions.recordTransfer(cache.bytes(), TimeUnit.MICROSECONDS.toMillis(nowMicros - cache.doneMicros()));
            }
            return attempt.token(nowMicros);
        }

        @Override
        public void cacheMissing() {
            attempt.cacheMissing();
        }

        @Override
        public void lost() {
            attempt.lost();
        }
    }
}
