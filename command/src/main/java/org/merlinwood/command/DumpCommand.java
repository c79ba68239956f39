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

/** Prints the whole state of a process. Used once by picocli. */
@Command(
        name = "dump",
        mixinStandardHelpOptions = true,
        description = "Prints the whole state of a process as JSON.",
        footer = {"", "Example: merlinwood dump 10.10.1.11:7900"},
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:the state is printed", "2:wrong use", "3:the process can't be reached"})
public final class DumpCommand implements Callable<Integer> {

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long SILENCE_TIMEOUT_MILLIS = 5_000;
    private static final int STATUS_OK = 200;

    @Parameters(paramLabel = "ADDRESS", description = "IP:PORT of the process's operator port (operatorAddress).")
    private String address;

    @Spec
    private CommandSpec specification;

    /** Creates the command; used by picocli. */
    public DumpCommand() {}

    @Override
    public Integer call() {
        HttpRequest call = HttpRequest.of("GET", parse(), "/dump", new byte[0])
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, SILENCE_TIMEOUT_MILLIS);
        try (HttpClient client = HttpClient.create("dump", 1)) {
            Either<Failure, HttpResponse> answer =
                    client.execute(call).toCompletableFuture().join();
            return answer.fold(failure -> refuse(failure.detail()), this::print);
        }
    }

    // ------------------------------------------------------------------ internals

    private InetSocketAddress parse() {
        try {
            NetworkAddress parsed = NetworkAddress.parse(address);
            return new InetSocketAddress(parsed.host(), parsed.port());
        } catch (IllegalArgumentException exception) {
            throw new CommandLine.ParameterException(specification.commandLine(), exception.getMessage(), exception);
        }
    }

    private int print(HttpResponse answer) {
        if (answer.status() != STATUS_OK) {
            return refuse("the process answered with status " + answer.status());
        }
        try {
            specification.commandLine().getOut().println(MAPPER.writeValueAsString(MAPPER.readTree(answer.body())));
            return ExitStatus.GOOD;
        } catch (IOException exception) {
            return refuse("the process did not answer with JSON; is " + address + " its operator port?");
        }
    }

    private int refuse(String message) {
        specification.commandLine().getErr().println(address + ": " + message);
        return ExitStatus.UNREACHABLE;
    }
}
