package org.merlinwood.proving.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A command that runs a main class with the Java installation and the class path of this process.
 *
 * @param heap maximum heap size, such as {@code 96m}
 */
public record JavaCommand(String heap) {

    List<String> of(String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heap,
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "--enable-native-access=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        return command;
    }
}
