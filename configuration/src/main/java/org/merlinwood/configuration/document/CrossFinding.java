package org.merlinwood.configuration.document;

/**
 * Something that does not fit between a valid inventory and valid rules, or looks unintended. Never a reason for a
 * process to reject either document. Immutable.
 *
 * @param severity how bad it is
 * @param path the row that it is about, such as {@code services[hydrant-ledger]}
 * @param problem what does not fit
 * @param remedy what would be right
 */
public record CrossFinding(Severity severity, String path, String problem, String remedy) {

    /** How bad a finding is. */
    public enum Severity {
        /** Requests would be refused because of it. */
        ERROR,
        /** It works, but is probably not what was meant. */
        WARNING
    }

    @Override
    public String toString() {
        return EnumSpelling.spell(severity) + ": " + path + ": " + problem + "; " + remedy;
    }
}
