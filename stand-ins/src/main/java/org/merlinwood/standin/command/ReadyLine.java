package org.merlinwood.standin.command;

/**
 * JSON line that a stand-in process prints on standard output once it serves.
 *
 * @param standIn name of the subcommand
 * @param address public address, as IP:PORT
 * @param administration address of the administration port, as IP:PORT
 */
public record ReadyLine(String standIn, String address, String administration) {}
