import java.util.ArrayList;
import java.util.List;

/** Case 7: the entry learns of the restart after the restarted runner has sent events of its new version. */
final class MixedVersions {

    private static final int STREAMS = 36;
    private static final long REGISTRATION_MILLIS = 900;

    /** Number of streams with events of two versions that the rule allows. */
    private static final int ALLOWED = 2;

    private MixedVersions() {}

    public static void main(String[] arguments) throws Exception {
        Case run = new Case(arguments);
        List<String> mixed = new ArrayList<>();
        for (StreamClient client : RestartedRunner.play(run, STREAMS, REGISTRATION_MILLIS)) {
            if (client.versions.stream().distinct().count() > 1) {
                mixed.add(client.attempt);
            }
        }
        run.finish(mixed.size() + " streams hold events of two versions " + mixed, mixed.size() > ALLOWED);
    }
}
