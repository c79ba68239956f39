package org.merlinwood.following.impl;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.merlinwood.configuration.document.InventoryReader;
import org.merlinwood.configuration.document.RulesReader;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.following.ConfigurationInForce;
import org.merlinwood.following.FollowerState;

/** The control state of a follower. Everything but the volatile reads runs on the control thread. */
public final class FollowerCore implements ServiceWatch.Listener {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 500;
    private static final long PAUSE_MILLIS = 2_000;

    private final ControlTimer timer;
    private final MillisClock clock;
    private final DocumentHolder<Inventory> inventory;
    private final DocumentHolder<Rules> rules;
    private final Map<DocumentKind, ServiceWatch> watches = new EnumMap<>(DocumentKind.class);
    private final List<Consumer<ConfigurationInForce>> listeners = new CopyOnWriteArrayList<>();
    private final Map<Verdict, Counter> verdicts = new EnumMap<>(Verdict.class);
    private final Counter serviceFailures;
    private volatile Optional<ConfigurationInForce> current = Optional.empty();
    private volatile Revisions revisions = new Revisions(Revisions.NONE, Revisions.NONE);
    private long lastTickMillis;
    private boolean closed;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the state; nothing happens before {@link #start()}.
     *
     * @param timer runs everything
     * @param clock the clock
     * @param service the configuration service
     * @param metrics registry for the metrics
     * @param seed seed of the jitter
     */
    public FollowerCore(
            ControlTimer timer, MillisClock clock, ConfigurationService service, MetricRegistry metrics, long seed) {
        this.timer = timer;
        this.clock = clock;
        this.inventory = new DocumentHolder<>(DocumentKind.INVENTORY, InventoryReader::read, clock);
        this.rules = new DocumentHolder<>(DocumentKind.RULES, RulesReader::read, clock);
        Jitter jitter = new Jitter(seed);
        for (DocumentKind kind : DocumentKind.values()) {
            DocumentHolder<?> holder = holder(kind);
            watches.put(kind, new ServiceWatch(kind, service, timer, clock, jitter, holder::seenRevision, this));
        }
        for (Verdict verdict : Verdict.values()) {
            String name = "following.documents." + verdict.name().toLowerCase(java.util.Locale.ROOT);
            verdicts.put(verdict, metrics.counter(name));
        }
        this.serviceFailures = metrics.counter("following.service.failures");
        metrics.gauge("following.inventory.revision", () -> () -> revisions.inventory());
        metrics.gauge("following.rules.revision", () -> () -> revisions.rules());
    }

    /** Starts to follow. */
    public void start() {
        timer.execute(() -> {
            lastTickMillis = clock.monotonicMillis();
            watches.values().forEach(ServiceWatch::start);
            timer.schedule(TICK_MILLIS, this::tick);
        });
    }

    /** Ends all calls; what is in force stays readable. */
    public void close() {
        timer.execute(() -> {
            closed = true;
            watches.values().forEach(ServiceWatch::stop);
        });
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns what is in force. Thread-safe and cheap.
     *
     * @return both documents, empty before both were seen
     */
    public Optional<ConfigurationInForce> current() {
        return current;
    }

    /**
     * Returns the revisions in force. Thread-safe and cheap.
     *
     * @return the revisions
     */
    public Revisions revisions() {
        return revisions;
    }

    /**
     * Tells whether the process may serve. Thread-safe and cheap.
     *
     * @return true once both documents are in force
     */
    public boolean isReady() {
        return current.isPresent();
    }

    /**
     * Adds a listener; it hears of what is in force already at once.
     *
     * @param listener called on the control thread
     */
    public void addListener(Consumer<ConfigurationInForce> listener) {
        timer.execute(() -> {
            listeners.add(listener);
            current.ifPresent(configuration -> tell(listener, configuration));
        });
    }

    /**
     * Describes the state. Called on the control thread.
     *
     * @return the state
     */
    public FollowerState state() {
        return new FollowerState(
                isReady(),
                watches.values().stream().anyMatch(ServiceWatch::isRunning),
                "",
                0,
                watches.values().stream().mapToInt(ServiceWatch::failures).max().orElse(0),
                inventory.state(),
                rules.state());
    }

    // ------------------------------------------------------------------ answers of the service

    @Override
    public void onDocument(DocumentKind kind, ServiceAnswer.Published document) {
        offer(kind, document.revision(), document.text(), "configuration service");
    }

    @Override
    public void onAnswered(DocumentKind kind) {}

    @Override
    public void onFailure(DocumentKind kind) {
        serviceFailures.inc();
    }

    // ------------------------------------------------------------------ internals

    private Verdict offer(DocumentKind kind, long revision, String text, String origin) {
        Verdict verdict = holder(kind).offer(revision, text, origin);
        verdicts.get(verdict).inc();
        if (verdict == Verdict.ACCEPTED) {
            publish();
        }
        return verdict;
    }

    private void publish() {
        revisions = new Revisions(inventory.revision(), rules.revision());
        if (inventory.held().isEmpty() || rules.held().isEmpty()) {
            return;
        }
        ConfigurationInForce configuration = new ConfigurationInForce(
                inventory.held().get().value(), rules.held().get().value());
        current = Optional.of(configuration);
        listeners.forEach(listener -> tell(listener, configuration));
    }

    private static void tell(Consumer<ConfigurationInForce> listener, ConfigurationInForce configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("a listener failed on a new configuration");
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.monotonicMillis();
        if (now - lastTickMillis > TICK_MILLIS + PAUSE_MILLIS) {
            logger.atWarning().log("this process was paused for %d ms; it catches up", now - lastTickMillis);
            watches.values().forEach(ServiceWatch::restart);
        }
        lastTickMillis = now;
        timer.schedule(TICK_MILLIS, this::tick);
    }

    private DocumentHolder<?> holder(DocumentKind kind) {
        return switch (kind) {
            case INVENTORY -> inventory;
            case RULES -> rules;
        };
    }
}
