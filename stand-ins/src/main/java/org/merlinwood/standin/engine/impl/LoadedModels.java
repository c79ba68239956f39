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

/** Role and loaded models of an engine, changed by orders. Thread-safe; applies one order at a time. */
public final class LoadedModels {

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 200;

    private final Map<String, LoadedModel> models = new ConcurrentSkipListMap<>();
    private final List<Order> applied = new CopyOnWriteArrayList<>();
    private final HttpClient client;
    private final boolean fencingChecked;
    private volatile String role;
    private volatile long highestFencing;

    /**
     * Creates the initial state.
     *
     * @param client HTTP client for fetching weights
     * @param role initial role
     * @param names models loaded at startup, as {@code NAME} or {@code NAME:VERSION}
     * @param fencingChecked whether orders with old fencing numbers are refused
     */
    public LoadedModels(HttpClient client, String role, List<String> names, boolean fencingChecked) {
        this.client = client;
        this.role = role;
        this.fencingChecked = fencingChecked;
        names.stream().map(LoadedModels::parse).forEach(model -> models.put(model.name(), model));
    }

    /** Returns whether a model is loaded. */
    public boolean isLoaded(String model) {
        return models.containsKey(model);
    }

    /** Returns the role and the loaded models. */
    public Models state() {
        return new Models(role, highestFencing, List.copyOf(models.values()));
    }

    /** Returns the orders applied so far, sorted by time. */
    public List<Order> applied() {
        return List.copyOf(applied);
    }

    /**
     * Applies or refuses an order. Blocks while weights are fetched.
     *
     * @param order the order
     * @return the response to the order
     * @throws InterruptedException if the engine is being closed
     */
    public synchronized OrderResponse apply(Order order) throws InterruptedException {
        if (fencingChecked && order.fencing() < highestFencing) {
            return new OrderResponse(409, new FencingRefusal("fencing", highestFencing));
        }
        OrderResponse response = execute(order);
        if (response.status() == 200) {
            highestFencing = Math.max(highestFencing, order.fencing());
            applied.add(order);
        }
        return response;
    }

    private OrderResponse execute(Order order) throws InterruptedException {
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
            default -> new OrderResponse(400, new ErrorBody("kind"));
        };
    }

    private OrderResponse load(Order order) throws InterruptedException {
        OrderResponse fetched = fetch(order, order.weights());
        if (fetched.status() == 200) {
            models.put(order.model(), new LoadedModel(order.model(), order.version(), List.of()));
        }
        return fetched;
    }

    private OrderResponse loadAdapter(Order order) throws InterruptedException {
        if (!models.containsKey(order.model())) {
            return new OrderResponse(404, new ErrorBody("model"));
        }
        OrderResponse fetched = fetch(order, order.adapter());
        if (fetched.status() == 200) {
            models.computeIfPresent(order.model(), (name, model) -> withAdapter(model, order.adapter()));
        }
        return fetched;
    }

    private OrderResponse fetch(Order order, String weights) throws InterruptedException {
        if (order.weightStore() == null || order.weightStore().isBlank()) {
            return new OrderResponse(503, new WeightsRefusal("weights", DEFAULT_RETRY_AFTER_MILLIS));
        }
        InetSocketAddress store = Addresses.parse(order.weightStore());
        try {
            return client.execute(HttpRequest.of("GET", store, "/v1/weights/" + weights, new byte[0]))
                    .toCompletableFuture()
                    .get()
                    .fold(failure -> weightsRefused(DEFAULT_RETRY_AFTER_MILLIS), LoadedModels::classify);
        } catch (ExecutionException exception) {
            return weightsRefused(DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private static OrderResponse classify(HttpResponse response) {
        if (response.status() == 200) {
            return done();
        }
        return weightsRefused(
                response.header("Retry-After-Millis").map(Long::parseLong).orElse(DEFAULT_RETRY_AFTER_MILLIS));
    }

    private static OrderResponse weightsRefused(long retryAfterMillis) {
        return new OrderResponse(503, new WeightsRefusal("weights", retryAfterMillis));
    }

    private static OrderResponse done() {
        return new OrderResponse(200, new Done(true));
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
     * Response to an order.
     *
     * @param status HTTP status
     * @param body record to be written as JSON
     */
    public record OrderResponse(int status, Object body) {}

    /** Body of the response to an order that was applied. */
    public record Done(boolean done) {}
}
