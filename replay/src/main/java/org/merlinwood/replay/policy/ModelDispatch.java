package org.merlinwood.replay.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.placement.LoadObservation;
import org.merlinwood.replay.fake.Ask;
import org.merlinwood.replay.fake.DecodeStream;
import org.merlinwood.replay.fake.GrantListener;
import org.merlinwood.replay.fake.PrefillResult;
import org.merlinwood.replay.fake.PrefillWork;

/** Takes one send of a model request through grants, prefill, transfer and decode. Not thread-safe. */
final class ModelDispatch {

    private static final LoadObservation NO_LOAD = new LoadObservation(0, 1, 0, 0, 0, 0, false);

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;
    private final ModelRun run;
    private final Set<InstanceName> triedPrefills = new HashSet<>();
    private final Set<InstanceName> triedDecodes = new HashSet<>();
    private Optional<Ask> openAsk = Optional.empty();
    private Optional<Ask> decodeAsk = Optional.empty();
    private Optional<InstanceName> prefillInUse = Optional.empty();
    private Optional<InstanceName> decodeInUse = Optional.empty();
    private boolean decodeGranted;
    private boolean decodeExecuting;
    private Optional<PrefillResult> result = Optional.empty();

    ModelDispatch(FleetFakes fleet, RoutingDecisions decisions, ModelRun run) {
        this.fleet = fleet;
        this.decisions = decisions;
        this.run = run;
    }

    void begin() {
        Optional<Long> refusal = decisions.refusal(run);
        if (refusal.isPresent()) {
            run.refuse(refusal.get());
            return;
        }
        run.whenEnded(this::settle);
        run.whenCacheMissing(this::cacheMissing);
        run.whenLost(this::streamLost);
        place();
    }

    private void place() {
        if (decisions.reservesDecodeFirst()) {
            askDecode();
        } else {
            askPrefill();
        }
    }

    // ------------------------------------------------------------------ internals: decode

    private void askDecode() {
        Optional<Instance> chosen = decisions.choose(InstanceRole.DECODE, run, triedDecodes);
        if (chosen.isEmpty()) {
            giveUp(NO_LOAD);
            return;
        }
        InstanceName name = chosen.get().name();
        decodeInUse = Optional.of(name);
        decisions.started(InstanceRole.DECODE, name, run.decodePieces());
        Ask ask = ask(InstanceRole.DECODE, run.decodePieces(), new DecodeAnswer(name));
        decodeAsk = Optional.of(ask);
        fleet.decode(name).ask(ask);
    }

    private void decodeGranted(InstanceName name, LoadObservation load) {
        openAsk = Optional.empty();
        decisions.observe(InstanceRole.DECODE, name, load);
        if (run.isEnded()) {
            fleet.decode(name).release(decodeAsk.orElseThrow());
            return;
        }
        decodeGranted = true;
        if (result.isPresent()) {
            execute();
        } else {
            askPrefill();
        }
    }

    private void decodeFailed(InstanceName name, LoadObservation load) {
        if (run.isEnded()) {
            return;
        }
        endDecodeUse();
        triedDecodes.add(name);
        if (decisions.mayRetry()) {
            askDecode();
        } else {
            giveUp(load);
        }
    }

    private void execute() {
        InstanceName name = decodeInUse.orElseThrow();
        PrefillResult cache = result.orElseThrow();
        decodeExecuting = true;
        boolean measured = !run.hasTokens();
        fleet.decode(name).execute(new MeasuredStream(run, measured, cache, decisions), decodeAsk.orElseThrow(), cache);
    }

    private void cacheMissing() {
        if (!run.isEnded()) {
            decodeGranted = false;
            decodeExecuting = false;
            result = Optional.empty();
            endDecodeUse();
            retryAll(NO_LOAD);
        }
    }

    private void streamLost() {
        if (run.isEnded()) {
            return;
        }
        decodeInUse.ifPresent(name -> {
            decisions.unreachable(InstanceRole.DECODE, name);
            triedDecodes.add(name);
        });
        decodeGranted = false;
        decodeExecuting = false;
        result = Optional.empty();
        endDecodeUse();
        if (decisions.resumesStreams()) {
            retryAll(NO_LOAD);
        } else {
            run.fail();
        }
    }

    private void endDecodeUse() {
        decodeInUse.ifPresent(name -> decisions.ended(InstanceRole.DECODE, name, run.decodePieces()));
        decodeInUse = Optional.empty();
    }

    // ------------------------------------------------------------------ internals: prefill

    private void askPrefill() {
        Optional<Instance> chosen = decisions.choose(InstanceRole.PREFILL, run, triedPrefills);
        if (chosen.isEmpty()) {
            giveUp(NO_LOAD);
            return;
        }
        InstanceName name = chosen.get().name();
        prefillInUse = Optional.of(name);
        decisions.started(InstanceRole.PREFILL, name, run.prefillPieces());
        Ask ask = ask(InstanceRole.PREFILL, run.prefillPieces(), new PrefillAnswer(name));
        PrefillWork work = new PrefillWork(
                run.promptTokens(), run.blocks(), run::prefillBegins, this::prefillDone, () -> prefillLost(name));
        fleet.prefill(name).ask(ask, work);
    }

    private void prefillGranted(InstanceName name, LoadObservation load) {
        openAsk = Optional.empty();
        decisions.observe(InstanceRole.PREFILL, name, load);
    }

    private void prefillDone(PrefillResult done) {
        long millis = TimeUnit.MICROSECONDS.toMillis(done.doneMicros() - done.begunMicros());
        decisions.prefilled(done.holder().instance().name(), run, done.computedTokens(), millis);
        endPrefillUse();
        if (run.isEnded()) {
            done.holder().forget(done.bytes(), 0);
            return;
        }
        result = Optional.of(done);
        if (decodeGranted) {
            execute();
        } else {
            askDecode();
        }
    }

    private void prefillLost(InstanceName name) {
        if (!run.isEnded()) {
            decisions.unreachable(InstanceRole.PREFILL, name);
            prefillFailed(name, NO_LOAD);
        }
    }

    private void prefillFailed(InstanceName name, LoadObservation load) {
        if (run.isEnded()) {
            return;
        }
        endPrefillUse();
        triedPrefills.add(name);
        if (decisions.mayRetry()) {
            askPrefill();
        } else {
            giveUp(load);
        }
    }

    private void endPrefillUse() {
        prefillInUse.ifPresent(name -> decisions.ended(InstanceRole.PREFILL, name, run.prefillPieces()));
        prefillInUse = Optional.empty();
    }

    // ------------------------------------------------------------------ internals: both

    private Ask ask(InstanceRole role, int pieces, GrantListener listener) {
        Ask ask = new Ask(
                pieces,
                run.callerClass().priority(),
                run.promptTokens(),
                decisions.latestStartMicros(role, run),
                listener);
        openAsk = Optional.of(ask);
        return ask;
    }

    private void retryAll(LoadObservation load) {
        if (decisions.mayRetry()) {
            place();
        } else {
            giveUp(load);
        }
    }

    private void giveUp(LoadObservation load) {
        long comeBackMillis = decisions.comeBackMillis(load, run);
        if (run.hasTokens()) {
            run.fail();
        } else {
            run.refuse(comeBackMillis);
        }
    }

    private void settle() {
        openAsk.ifPresent(Ask::withdraw);
        decodeInUse.ifPresent(name -> {
            if (decodeGranted && !decodeExecuting) {
                fleet.decode(name).release(decodeAsk.orElseThrow());
            }
        });
        endDecodeUse();
        endPrefillUse();
        decisions.ended(run);
    }

    /** Answers to a request for decode memory. */
    private final class DecodeAnswer implements GrantListener {
        private final InstanceName name;

        DecodeAnswer(InstanceName name) {
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
            decisions.unreachable(InstanceRole.DECODE, name);
            decodeFailed(name, NO_LOAD);
        }
    }

    /** Answers to a request for a prefill. */
    private final class PrefillAnswer implements GrantListener {
        private final InstanceName name;

        PrefillAnswer(InstanceName name) {
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
            decisions.unreachable(InstanceRole.PREFILL, name);
            prefillFailed(name, NO_LOAD);
        }
    }

    /** Tells the decisions how long the transfer took, at the first token. */
    private static final class MeasuredStream implements DecodeStream {
        private final ModelRun run;
        private final PrefillResult cache;
        private final RoutingDecisions decisions;
        private boolean awaitsFirst;

        MeasuredStream(ModelRun run, boolean awaitsFirst, PrefillResult cache, RoutingDecisions decisions) {
            this.run = run;
            this.awaitsFirst = awaitsFirst;
            this.cache = cache;
            this.decisions = decisions;
        }

        @Override
        public boolean token(long nowMicros) {
            if (awaitsFirst) {
                awaitsFirst = false;
                decisions.transferred(cache.bytes(), TimeUnit.MICROSECONDS.toMillis(nowMicros - cache.doneMicros()));
            }
            return run.token(nowMicros);
        }

        @Override
        public void cacheMissing() {
            run.cacheMissing();
        }

        @Override
        public void lost() {
            run.lost();
        }
    }
}
