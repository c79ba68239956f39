package org.merlinwood.command;

/** Exit statuses of the command line. */
public final class ExitStatus {

    /** All is well. */
    public static final int GOOD = 0;

    /** A document has findings. */
    public static final int FINDINGS = 1;

    /** The command was used wrongly, or a file can't be read. */
    public static final int USAGE = 2;

    /** The process can't be reached. */
    public static final int UNREACHABLE = 3;

    private ExitStatus() {}
}
