package org.merlinwood.standin.engine.impl;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.engine.impl.EngineBodies.FencingRefusal;
import org.merlinwood.standin.engine.impl.EngineBodies.LoadedModel;
import org.merlinwood.standin.engine.impl.EngineBodies.Models;
import org.merlinwood.standin.engine.impl.EngineBodies.Order;
import org.merlinwood.standin.engine.impl.EngineBodies.WeightsRefusal;
import org.merlinwood.standin.impl.ErrorBody;
import org.merlinwood.standin.network.Addresses;

/** Role and models of an engine, changed by orders. Thread-safe; one order at a time. */
public final class LoadedModels {

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 200;

    private final Map<String, LoadedModel> models = new ConcurrentSkipListMap<>();
    private final List<Order> obeyed = new CopyOnWriteArrayList<>();
    private final HttpClient client;
    private final boolean fencingChecked;
    private volatile String role;
    private volatile long highestFencing;

    /**
     * Creates the state at the start.
     *
     * @param client fetches weights
     * @param role the role
     * @param names models loaded, as {@code NAME} or {@code NAME:VERSION}
     * @param fencingChecked whether old fencing numbers are refused
     */
    public LoadedModels(HttpClient client, String role, List<String> names, boolean fencingChecked) {
        this.client = client;
        this.role = role;
        this.fencingChecked = fencingChecked;
        names.stream().map(LoadedModels::parse).forEach(model -> models.put(model.name(), model));
    }

    /** Tells whether a model is loaded. */
    public boolean carries(String model) {
        return models.containsKey(model);
    }

    /** Returns what is loaded. */
    public Models state() {
        return new Models(role, highestFencing, List.copyOf(models.values()));
    }

    /** Returns the orders obeyed so far, in their order. */
    public List<Order> obeyed() {
        return List.copyOf(obeyed);
    }

    /**
     * Obeys an order or refuses it.
     *
     * @param order the order
     * @return what to answer
     * @throws InterruptedException if the engine is being closed
     */
    public synchronized OrderAnswer obey(Order order) throws InterruptedException {
        if (fencingChecked && order.fencing() < highestFencing) {
            return new OrderAnswer(409, new FencingRefusal("fencing", highestFencing));
        }
        OrderAnswer answer = carryOut(order);
        if (answer.status() == 200) {
            highestFencing = Math.max(highestFencing, order.fencing());
            obeyed.add(order);
        }
        return answer;
    }

    private OrderAnswer carryOut(Order order) throws InterruptedException {
        return switch (order.kind()) {
            case "LOAD_MODEL" -> load(order);
            case "UNLOAD_MODEL" -> {
                models.remove(order.model());
                yield done();
            }
            case "LOAD_ADAPTER" -> loadAdapter(order);
            case "CHANGE_ROLE" -> {
                role = order.role();
                yield done();
            }
            default -> new OrderAnswer(400, new ErrorBody("kind"));
        };
    }

    private OrderAnswer load(Order order) throws InterruptedException {
        OrderAnswer fetched = fetch(order, order.weights());
        if (fetched.status() == 200) {
            models.put(order.model(), new LoadedModel(order.model(), order.version(), List.of()));
        }
        return fetched;
    }

    private OrderAnswer loadAdapter(Order order) throws InterruptedException {
        if (!models.containsKey(order.model())) {
            return new OrderAnswer(404, new ErrorBody("model"));
        }
        OrderAnswer fetched = fetch(order, order.adapter());
        if (fetched.status() == 200) {
            models.computeIfPresent(order.model(), (name, model) -> withAdapter(model, order.adapter()));
        }
        return fetched;
    }

    private OrderAnswer fetch(Order order, String weights) throws InterruptedException {
        if (order.weightStore() == null || order.weightStore().isBlank()) {
            return new OrderAnswer(503, new WeightsRefusal("weights", DEFAULT_RETRY_AFTER_MILLIS));
        }
        InetSocketAddress store = Addresses.parse(order.weightStore());
        try {
            return client.execute(HttpRequest.of("GET", store, "/v1/weights/" + weights, new byte[0]))
                    .toCompletableFuture()
                    .get()
                    .fold(failure -> weightsRefused(DEFAULT_RETRY_AFTER_MILLIS), LoadedModels::judge);
        } catch (ExecutionException exception) {
            return weightsRefused(DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private static OrderAnswer judge(HttpResponse answer) {
        if (answer.status() == 200) {
            return done();
        }
        return weightsRefused(
                answer.header("Retry-After-Millis").map(Long::parseLong).orElse(DEFAULT_RETRY_AFTER_MILLIS));
    }

    private static OrderAnswer weightsRefused(long retryAfterMillis) {
        return new OrderAnswer(503, new WeightsRefusal("weights", retryAfterMillis));
    }

    private static OrderAnswer done() {
        return new OrderAnswer(200, new Done(true));
    }

    private static LoadedModel withAdapter(LoadedModel model, String adapter) {
        List<String> adapters = Stream.concat(model.adapters().stream(), Stream.of(adapter))
                .distinct()
                .toList();
        return new LoadedModel(model.name(), model.version(), adapters);
    }

    private static LoadedModel parse(String text) {
        int colon = text.indexOf(':');
        return colon < 0
                ? new LoadedModel(text, "1", List.of())
                : new LoadedModel(text.substring(0, colon), text.substring(colon + 1), List.of());
    }

    /**
     * What to answer to an order.
     *
     * @param status the HTTP status
     * @param body a record
     */
    public record OrderAnswer(int status, Object body) {}

    /** Says that an order was obeyed. */
    public record Done(boolean done) {}
}
