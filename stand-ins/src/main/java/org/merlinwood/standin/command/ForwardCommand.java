package org.merlinwood.standin.command;

import java.util.concurrent.Callable;
import org.merlinwood.standin.network.Addresses;
import org.merlinwood.standin.network.Forwarder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Subcommand that runs a TCP forwarder. */
@Command(name = "forward", description = "Forwards TCP connections.", mixinStandardHelpOptions = true)
final class ForwardCommand implements Callable<Integer> {

    @Mixin
    private ListenOptions listening;

    @Option(names = "--target", required = true, description = "Address that connections are forwarded to, IP:PORT.")
    private String target;

    @Override
    public Integer call() {
        return ListenOptions.serve(
                "forward", new Forwarder(listening.listen(), listening.administration(), Addresses.parse(target)));
    }
}
