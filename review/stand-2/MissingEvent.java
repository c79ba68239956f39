import java.util.ArrayList;
import java.util.List;

/** Case 6: the entry learns of the restart between sending a stream there and the first event. */
final class MissingEvent {

    private static final int STREAMS = 24;
    private static final long REGISTRATION_MILLIS = 40;

    private MissingEvent() {}

    public static void main(String[] arguments) throws Exception {
        Case run = new Case(arguments);
        List<String> gaps = new ArrayList<>();
        for (StreamClient client : RestartedRunner.play(run, STREAMS, REGISTRATION_MILLIS)) {
            if (client.firstGap(0) != 0) {
                gaps.add(client.attempt + " lacks event " + client.firstGap(0)
                        + (client.complete ? " and ends as complete" : ""));
            }
        }
        run.finish(gaps.isEmpty() ? "no stream lacks an event" : String.join("; ", gaps), !gaps.isEmpty());
    }
}
