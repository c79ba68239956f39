package org.merlinwood.operation.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Configures the logs of a process: one JSON object per line on standard error. */
public final class JsonLogs {

    private static final Logger ROOT = Logger.getLogger("");

    private JsonLogs() {}

    /**
     * Replaces all handlers of the root logger. Called once, before the first message is logged.
     *
     * @param process name of the process, written in every line
     * @param level lowest level that is logged
     */
    public static void install(String process, Level level) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        Handler handler = new FlushingHandler();
        handler.setFormatter(new JsonLineFormatter(process));
        handler.setLevel(level);
        ROOT.addHandler(handler);
        ROOT.setLevel(level);
    }

    private static final class FlushingHandler extends StreamHandler {

        private FlushingHandler() {
            setOutputStream(System.err);
        }

        @Override
        public synchronized void publish(LogRecord logRecord) {
            super.publish(logRecord);
            flush();
        }
    }
}
