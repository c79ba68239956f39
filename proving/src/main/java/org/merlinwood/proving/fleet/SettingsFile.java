package org.merlinwood.proving.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.standin.network.Addresses;

/** Builds and writes the settings file of one process. Not thread-safe: used by one thread. */
final class SettingsFile {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SECRET = "5a".repeat(32);
    private static final int KEY_IDENTIFIER = 1;

    private final ObjectNode settings;
    private final Path file;

    SettingsFile(Path folder, Instance instance) {
        this(fileOf(folder, instance), MAPPER.createObjectNode());
        settings.put("instance", instance.name().value());
        settings.put("failureDomain", instance.failureDomain().value());
        settings.putArray("keys").addObject().put("identifier", KEY_IDENTIFIER).put("secretHexadecimal", SECRET);
    }

    private SettingsFile(Path file, ObjectNode settings) {
        this.file = file;
        this.settings = settings;
    }

    /** Copies the settings that were written for an instance into a file whose name has the given suffix. */
    static SettingsFile copyOf(Path folder, Instance instance, String suffix) {
        try {
            ObjectNode settings =
                    (ObjectNode) MAPPER.readTree(fileOf(folder, instance).toFile());
            return new SettingsFile(folder.resolve(instance.name() + "-" + suffix + ".json"), settings);
        } catch (IOException exception) {
            throw new UncheckedIOException("could not read the settings file", exception);
        }
    }

    SettingsFile address(String field, InetSocketAddress address) {
        settings.put(field, Addresses.text(address));
        return this;
    }

    SettingsFile addresses(String field, List<InetSocketAddress> addresses) {
        addresses.forEach(address -> settings.withArray(field).add(Addresses.text(address)));
        if (addresses.isEmpty()) {
            settings.putArray(field);
        }
        return this;
    }

    SettingsFile port(String field, int port) {
        settings.put(field, port);
        return this;
    }

    private static Path fileOf(Path folder, Instance instance) {
        return folder.resolve(instance.name() + "-settings.json");
    }

    /** Writes the file and returns the command line arguments that refer to it. */
    List<String> write() {
        try {
            Files.writeString(file, MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(settings));
        } catch (IOException exception) {
            throw new UncheckedIOException("could not write the settings file", exception);
        }
        return List.of("--settings", file.toString());
    }
}
