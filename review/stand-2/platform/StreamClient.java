import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/** A client that reads one stream and remembers the numbers of its events. */
final class StreamClient {

    final String attempt;
    final List<Integer> numbers = new ArrayList<>();
    final List<String> versions = new ArrayList<>();
    volatile int status;
    volatile boolean complete;
    volatile String failure = "";
    /** Time that the client will wait, in milliseconds. */
    long timeLeftMillis = 14_000;

    private final Recorder recorder;

    StreamClient(String attempt, Recorder recorder) {
        this.attempt = attempt;
        this.recorder = recorder;
    }

    /** Sends the request and reads its response to the end. */
    void run(InetSocketAddress entry, String path, int promptTokens, int events, String prefix, OptionalInt lastEvent) {
        run(entry, path, promptTokens, events, prefix, lastEvent, attempt);
    }

    /** Sends the request, which takes up the stream of an attempt if that is another one, and reads its response. */
    void run(
            InetSocketAddress entry,
            String path,
            int promptTokens,
            int events,
            String prefix,
            OptionalInt lastEvent,
            String firstAttempt) {
        try (Socket socket = new Socket()) {
            socket.connect(entry, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(15_000);
            String last = lastEvent.isPresent() ? "Last-Event-Id: " + lastEvent.getAsInt() + "\r\n" : "";
            if (!firstAttempt.equals(attempt)) {
                last += "Resumes: " + firstAttempt + "\r\n";
            }
            recorder.line("client sends " + attempt + " " + last.trim().replace("\r\n", ", "));
            byte[] body = ("prompt of " + firstAttempt).getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attempt
                                    + "\r\nModel: m\r\nToken-Counts: " + promptTokens + "," + events
                                    + "\r\nPrompt-Prefix: " + prefix + "\r\n" + last + "Deadline-Ms: " + timeLeftMillis
                                    + "\r\nContent-Length: "
                                    + body.length + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII))
                            .getBytes(StandardCharsets.US_ASCII));
            read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException broken) {
            failure = String.valueOf(broken.getMessage());
        }
        recorder.line("client has " + attempt + " status " + status + " events " + spans() + " versions "
                + versions.stream().distinct().toList() + (complete ? " complete" : " incomplete " + failure));
    }

    private void read(BufferedInputStream input) throws IOException {
        Http.Message head = Http.head(input);
        if (head == null) {
            throw new IOException("closed without a response");
        }
        status = head.status();
        if (status != 200) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (byte[] chunk = Http.chunk(input); chunk.length > 0; chunk = Http.chunk(input)) {
            text.append(new String(chunk, StandardCharsets.US_ASCII));
            take(text);
        }
        complete = true;
    }

    private void take(StringBuilder text) {
        for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
            String[] lines = text.substring(0, end).split("\n");
            numbers.add(Integer.parseInt(lines[0].substring(4)));
            versions.add(lines[1].split(" ")[2]);
            text.delete(0, end + 2);
        }
    }

    /** Returns the numbers of the events, those that follow each other as a span. */
    String spans() {
        StringBuilder spans = new StringBuilder();
        for (int start = 0, end = 0; start < numbers.size(); start = end) {
            end = start + 1;
            while (end < numbers.size() && numbers.get(end) == numbers.get(end - 1) + 1) {
                end++;
            }
            spans.append(spans.isEmpty() ? "" : ",").append(numbers.get(start)).append("-").append(numbers.get(end - 1));
        }
        return spans.isEmpty() ? "none" : spans.toString();
    }

    /** Returns the first number that is missing or comes twice, counted from the one behind an event; 0 if none is. */
    int firstGap(int behind) {
        int expected = behind + 1;
        for (int number : numbers) {
            if (number != expected) {
                return expected;
            }
            expected++;
        }
        return 0;
    }
}
