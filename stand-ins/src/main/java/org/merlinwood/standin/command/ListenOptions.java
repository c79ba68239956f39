package org.merlinwood.standin.command;

import java.net.InetSocketAddress;
import org.merlinwood.standin.StandIn;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.network.Addresses;
import picocli.CommandLine.Option;

/** Options common to all stand-ins, and the life cycle of a stand-in process. */
final class ListenOptions {

    @Option(
            names = "--listen",
            defaultValue = "127.0.0.1:0",
            description = "Public address, IP:PORT; port 0 selects a free port.")
    private String listen;

    @Option(names = "--admin", defaultValue = "127.0.0.1:0", description = "Administration address, IP:PORT.")
    private String administration;

    InetSocketAddress listen() {
        return Addresses.parse(listen);
    }

    InetSocketAddress administration() {
        return Addresses.parse(administration);
    }

    /**
     * Prints the {@link ReadyLine} and serves until the process is terminated.
     *
     * @return the exit status
     */
    static int serve(String kind, StandIn standIn) {
        Runtime.getRuntime().addShutdownHook(new Thread(standIn::close, "stand-in-shutdown"));
        ReadyLine line =
                new ReadyLine(kind, Addresses.text(standIn.address()), Addresses.text(standIn.administrationAddress()));
        System.out.println(Json.text(line));
        System.out.flush();
        try {
            Thread.currentThread().join();
        } catch (InterruptedException exception) {
            standIn.close();
        }
        return 0;
    }
}
