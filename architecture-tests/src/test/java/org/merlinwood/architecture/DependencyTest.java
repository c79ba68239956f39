package org.merlinwood.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class DependencyTest {

    private static final String ROOT = "org.merlinwood.";
    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.merlinwood");

    static Stream<Arguments> modules() {
        return Stream.of(
                Arguments.of("core", List.of()),
                Arguments.of("configuration", List.of("core")),
                Arguments.of("decision", List.of("core", "configuration")),
                Arguments.of("protocol", List.of("core", "wire")),
                Arguments.of("http", List.of("core")),
                Arguments.of("operation", List.of("core")),
                Arguments.of("following", List.of("core", "configuration", "protocol", "wire", "http", "operation")),
                Arguments.of(
                        "entry",
                        List.of(
                                "core",
                                "configuration",
                                "decision",
                                "protocol",
                                "wire",
                                "http",
                                "operation",
                                "following")),
                Arguments.of(
                        "sidecar",
                        List.of(
                                "core",
                                "configuration",
                                "decision",
                                "protocol",
                                "wire",
                                "http",
                                "operation",
                                "following")),
                Arguments.of("gateway", List.of("core", "http", "operation", "protocol", "wire")),
                Arguments.of("platform", List.of("core", "http", "operation", "protocol", "gateway")),
                Arguments.of("standin", List.of("core", "http", "operation")),
                Arguments.of("replay", List.of("core", "configuration", "decision")),
                Arguments.of(
                        "command",
                        List.of(
                                "core",
                                "configuration",
                                "http",
                                "operation",
                                "replay",
                                "decision",
                                "gateway",
                                "platform")));
    }

    @ParameterizedTest
    @MethodSource("modules")
    void moduleDependsOnlyOnAllowedModules(String module, List<String> allowed) {
        String[] packages = Stream.concat(allowed.stream(), Stream.of(module))
                .map(name -> ROOT + name + "..")
                .toArray(String[]::new);
        classes()
                .that()
                .resideInAPackage(ROOT + module + "..")
                .should()
                .onlyDependOnClassesThat(
                        not(resideInAPackage("org.merlinwood..")).or(resideInAnyPackage(packages)))
                .check(PRODUCT);
    }

    @Test
    void decisionsDoNotDependOnTransport() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "decision..", ROOT + "gateway.decision..", ROOT + "gateway.crash..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..", "io.undertow..", "java.net..", "java.nio.channels..", "com.google.protobuf..")
                .check(PRODUCT);
    }

    /** What crashes instances is known without anything that is decided because of it. */
    @Test
    void crashEvidenceDependsOnFactsAlone() {
        classes()
                .that()
                .resideInAPackage(ROOT + "gateway.crash..")
                .should()
                .onlyDependOnClassesThat(not(resideInAPackage("org.merlinwood.."))
                        .or(resideInAnyPackage(
                                ROOT + "core..",
                                ROOT + "gateway.crash..",
                                ROOT + "gateway.fleet..",
                                ROOT + "gateway.request..",
                                ROOT + "gateway.workspace..")))
                .check(PRODUCT);
    }

    @ParameterizedTest
    @MethodSource("clockMethods")
    void onlyCoreTimeReadsTheSystemClock(Class<?> owner, String method) {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + "core.time..", ROOT + "benchmark..")
                .should()
                .callMethod(owner, method)
                .check(PRODUCT);
    }

    static Stream<Arguments> clockMethods() {
        return Stream.of(
                Arguments.of(System.class, "currentTimeMillis"),
                Arguments.of(System.class, "nanoTime"),
                Arguments.of(Instant.class, "now"));
    }

    @Test
    void onlyProvingStartsProcesses() {
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + "proving..")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ProcessBuilder.class)
                .check(PRODUCT);
    }

    @Test
    void implPackagesAreUsedOnlyByTheirOwner() {
        PRODUCT.stream().filter(type -> type.getPackageName().contains(".impl")).forEach(type -> {
            String owner =
                    type.getPackageName().substring(0, type.getPackageName().indexOf(".impl"));
            assertThat(type.getDirectDependenciesToSelf())
                    .as("uses of %s", type.getName())
                    .allMatch(use -> use.getOriginClass().getPackageName().startsWith(owner));
        });
    }

    @Test
    void everyModuleIsImported() {
        List<String> expected = Arrays.asList(
                "core",
                "configuration",
                "decision",
                "protocol",
                "http",
                "operation",
                "following",
                "entry",
                "sidecar",
                "gateway",
                "platform",
                "standin",
                "replay",
                "command");
        assertThat(expected)
                .allSatisfy(name -> assertThat(PRODUCT.stream()
                                .anyMatch(type -> type.getPackageName().startsWith(ROOT + name)))
                        .isTrue());
    }
}
