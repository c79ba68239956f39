package org.merlinwood.operation.port;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Writes the state dump of a process: one JSON object with a field for each section. Stateless. */
public final class StateDump {

    /** Media type of a dump. */
    public static final String CONTENT_TYPE = "application/json";

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

    private StateDump() {}

    /**
     * Writes the current state of all sections.
     *
     * @param sections the sections, in the order of the dump
     * @return indented JSON
     * @throws JsonProcessingException if Jackson can't serialize the state of a section
     */
    public static String write(List<StateSection> sections) throws JsonProcessingException {
        ObjectNode dump = MAPPER.createObjectNode();
        sections.forEach(section -> dump.set(section.name(), MAPPER.valueToTree(section.state())));
        return MAPPER.writeValueAsString(dump);
    }
}
