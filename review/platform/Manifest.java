/** The manifest of the small deployment, as the users' pages show one. */
final class Manifest {

    private Manifest() {}

    static final String RESUMABLE = "/pufi791/";
    static final String STREAM = "/lohu930/";
    static final String ORDER = "/pule252/";
    static final String ADDED = "/wexa118/";
    static final String READ = "/puxa403/";

    static String of(int version) {
        return of(version, "\"service\":\"report-model\"");
    }

    /** A streaming route of the plain service is added. */
    static String withAddedRoute(int version) {
        String added = "{\"name\":\"r-5\",\"host\":\"ficu95.example\",\"prefix\":\"" + ADDED + "\",\"kind\":\"streaming\","
                + "\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"ledger-app\",\"max_attempts\":1,"
                + "\"sticky_sessions\":true,\"resumable\":false,\"target_gap_ms\":300},";
        return of(version).replace("\"routes\":[", "\"routes\":[" + added);
    }

    /** The services of the resumable route are given, as a field. */
    static String of(int version, String resumableServices) {
        return """
                {"version":%d,"routes":[
                {"name":"r-1","host":"ficu95.example","prefix":"/pufi791/","kind":"streaming","timeout_ms":14000,
                "target_latency_ms":900,"priority":1,%s,"max_attempts":2,
                "sticky_sessions":true,"resumable":true,"target_gap_ms":300},
                {"name":"r-2","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout_ms":14000,
                "target_latency_ms":900,"priority":1,"service":"report-model","max_attempts":1,
                "sticky_sessions":true,"resumable":false,"target_gap_ms":300},
                {"name":"r-3","host":"ficu95.example","prefix":"/pule252/","kind":"non_idempotent","timeout_ms":800,
                "target_latency_ms":193,"priority":2,"service":"ledger-app","max_attempts":1},
                {"name":"r-4","host":"ficu95.example","prefix":"/puxa403/","kind":"idempotent","timeout_ms":800,
                "target_latency_ms":193,"priority":2,"service":"ledger-app","max_attempts":2}],
                "services":[{"name":"report-model","health_path":"/health","max_connections":180,"protocol":"h1",
                "tls":false,"engine":{"slots":16,"kv_capacity_tokens":74442,"kv_bytes":262144,"link_mbps":8800000.0,
                "moves":true,"backups":true,"stride":72,"most":12,"handle_ttl_s":0.5,"switch_time_s":6.0,"pin_ms":4000.0,
                "hold_ms":2000.0,"models":[{"name":"m"}]}},
                {"name":"ledger-app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}"""
                .formatted(version, resumableServices)
                .replace("\n", "");
    }
}
