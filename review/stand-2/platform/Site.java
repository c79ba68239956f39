import java.util.Map;

/** The configuration and bounds of a small deployment, after the sheet of Hydrant Ledger. */
final class Site {

    static final Map<String, String> BOUNDS = Map.of(
            "grace_s", "8", "budget_ratio", "0.2", "budget_slack", "58", "budget_window_s", "10", "require_fencing", "true");

    private Site() {}

    /** A manifest with one model service, whose streams may be resumed, and one plain service. */
    static String manifest(int version, int streamAttempts) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-stream\",\"host\":\"site.example\",\"prefix\":\"/stream/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"model\",\"max_attempts\":"
                + streamAttempts + ",\"sticky_sessions\":true,\"resumable\":true,\"target_gap_ms\":300},"
                + "{\"name\":\"r-order\",\"host\":\"site.example\",\"prefix\":\"/order/\",\"kind\":\"non_idempotent\","
                + "\"timeout_ms\":1500,\"target_latency_ms\":193,\"priority\":2,\"service\":\"app\",\"max_attempts\":1},"
                + "{\"name\":\"r-read\",\"host\":\"site.example\",\"prefix\":\"/read/\",\"kind\":\"idempotent\","
                + "\"timeout_ms\":1500,\"target_latency_ms\":193,\"priority\":2,\"service\":\"app\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":180,"
                + "\"engine\":{\"slots\":16,\"kv_capacity_tokens\":200000,\"kv_bytes\":262144,\"link_mbps\":8800000.0,"
                + "\"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\"handle_ttl_s\":2,\"switch_time_s\":6.0,"
                + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
