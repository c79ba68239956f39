package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntToLongFunction;

/** What the cases have in common: the record, the exit status, and clients that come one after the other. */
final class StreamCase {

    /** More streams than the rule allows to hold events of two software versions. */
    static final int ALLOWED_MIXED_STREAMS = 2;

    /** One case. */
    interface Play {

        /** Plays the case; returns whether the rule was broken. */
        boolean play(Record record, boolean trouble) throws Exception;
    }

    private StreamCase() {}

    /** Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void main(String[] arguments, Play play) {
        int status;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.print(trouble ? "with the disruption" : "without the disruption");
            boolean broken = play.play(record, trouble);
            record.print(broken ? "the rule is broken" : "the rule holds");
            status = broken ? 1 : 0;
        } catch (Exception exception) {
            System.out.println("the case could not run: " + exception);
            status = 2;
        }
        System.exit(status);
    }

    /** Tries of a client: the first one and the one retry of the sheet. */
    private static final int TRIES = 2;

    /**
     * Starts clients one after the other, spread over the entries; returns what ends when all have ended. The pause
     * before its retry, in milliseconds, is given by the number of the client.
     */
    static List<Future<?>> start(Deployment deployment, List<StreamClient> clients, IntToLongFunction pauseMillis) {
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        List<Future<?>> ends = new ArrayList<>();
        for (int index = 0; index < clients.size(); index++) {
            int number = index;
            ends.add(threads.submit(() -> {
                Thread.sleep(number * deployment.site.intervalMillis());
                clients.get(number).run(number % deployment.entries.size(), TRIES, pauseMillis.applyAsLong(number));
                return null;
            }));
        }
        return ends;
    }

    static void awaitAll(List<Future<?>> ends) throws Exception {
        for (Future<?> end : ends) {
            end.get();
        }
    }

    /** Prints how the streams ended; returns whether ORDER is broken. */
    static boolean judgeOrder(Record record, List<StreamClient> clients) {
        long complete = clients.stream().filter(StreamClient::isComplete).count();
        long mixed = clients.stream()
                .filter(client -> client.distinctVersions().size() > 1)
                .count();
        List<StreamClient> wrong =
                clients.stream().filter(client -> !client.isInOrder()).toList();
        clients.stream()
                .filter(client -> client.distinctVersions().size() > 1 || !client.isInOrder())
                .forEach(client -> record.write("stream " + client.session + " " + client.outcomes + ": events "
                        + client.events + ", versions " + client.versions));
        record.print(clients.size() + " streams, " + complete + " complete; events of two software versions in " + mixed
                + " streams, a missing or repeated event in " + wrong.size());
        return mixed > ALLOWED_MIXED_STREAMS || !wrong.isEmpty();
    }

    /** Returns names of sessions, the last parts of their prompts. */
    static List<String> sessions(int count) {
        List<String> sessions = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sessions.add(String.format("5e55%04x", index));
        }
        return sessions;
    }
}
