package org.merlinwood.standin.command;

/**
 * The line that a stand-in prints when it is ready.
 *
 * @param standIn which one
 * @param address public address
 * @param administration address for commands
 */
public record ReadyLine(String standIn, String address, String administration) {}
