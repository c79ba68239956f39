package org.merlinwood.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code dump} command: prints the state dump of a process. Created by picocli for one execution. */
@Command(
        name = "dump",
        mixinStandardHelpOptions = true,
        description = "Prints the whole state of a process as JSON.",
        footer = {"", "Example: merlinwood dump 10.10.1.11:7900"},
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:the state is printed", "2:invalid usage", "3:the process can't be reached"})
public final class DumpCommand implements Callable<Integer> {

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 5_000;
    private static final int STATUS_OK = 200;

    @Parameters(paramLabel = "ADDRESS", description = "IP:PORT of the process's operator port (operatorAddress).")
    private String address;

    @Spec
    private CommandSpec specification;

    /** Creates the command. Called by picocli. */
    public DumpCommand() {}

    @Override
    public Integer call() {
        HttpRequest request = HttpRequest.of("GET", parseAddress(), "/dump", new byte[0])
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
        try (HttpClient client = HttpClient.create("dump", 1)) {
            Either<Failure, HttpResponse> response =
                    client.execute(request).toCompletableFuture().join();
            return response.fold(failure -> fail(failure.detail()), this::print);
        }
    }

    private InetSocketAddress parseAddress() {
        try {
            return NetworkAddress.parse(address).toSocketAddress();
        } catch (IllegalArgumentException exception) {
            throw new CommandLine.ParameterException(specification.commandLine(), exception.getMessage(), exception);
        }
    }

    private int print(HttpResponse response) {
        if (response.status() != STATUS_OK) {
            return fail("the process responded with status " + response.status());
        }
        try {
            specification.commandLine().getOut().println(MAPPER.writeValueAsString(MAPPER.readTree(response.body())));
            return ExitStatus.SUCCESS;
        } catch (IOException exception) {
            return fail("the response is not JSON; is " + address + " its operator port?");
        }
    }

    private int fail(String message) {
        specification.commandLine().getErr().println(address + ": " + message);
        return ExitStatus.UNREACHABLE;
    }
}
