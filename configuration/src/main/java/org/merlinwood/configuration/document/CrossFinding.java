package org.merlinwood.configuration.document;

/**
 * An inconsistency between a valid inventory and valid rules, or a combination that is probably unintended. Findings
 * are shown to operators; a process never rejects a document because of one. Immutable.
 *
 * @param severity severity of the finding
 * @param path the affected row, such as {@code services[hydrant-ledger]}
 * @param problem description of the inconsistency
 * @param remedy how to correct it
 */
public record CrossFinding(Severity severity, String path, String problem, String remedy) {

    /** Severity of a finding. */
    public enum Severity {
        /** Requests would be refused. */
        ERROR,
        /** Requests are served, but the configuration is probably unintended. */
        WARNING
    }

    @Override
    public String toString() {
        return EnumSpelling.spell(severity) + ": " + path + ": " + problem + "; " + remedy;
    }
}
