package org.mulleinshift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.GoldenFile;
import org.mulleinshift.protocol.CloudMachine.Phase;

/**
 * Guards against accidental changes of the cloud API's wire format: requests must be written, and
 * responses parsed, as by the earlier build that wrote the golden files.
 */
class CloudMessageGoldenTest {
  private static final String DIRECTORY = "cloud/";
  private static final MachineTypeId TYPE = new MachineTypeId("g8");
  private static final ZoneId ZONE = new ZoneId("a");
  private static final List<MachineId> MACHINES =
      List.of(new MachineId("i-000231"), new MachineId("i-000232"));

  private static String file(String name) {
    return DIRECTORY + name + ".json";
  }

  private static Map<String, String> messages() {
    Map<String, String> messages = new LinkedHashMap<>();
    messages.put("rent-spot", CloudCodec.writeProvisioningRequest("r-417-1", TYPE, ZONE, true, 12));
    messages.put(
        "rent-ordinary", CloudCodec.writeProvisioningRequest("r-417-2", TYPE, ZONE, false, 50));
    messages.put("delete", CloudCodec.writeDeletionRequest(MACHINES));
    messages.put("catalog", catalog());
    messages.put("rented", provisioned());
    messages.put("list", list());
    return messages;
  }

  private static String catalog() {
    ObjectNode catalog = Json.object();
    ObjectNode type = catalog.putArray("builds").addObject();
    type.put("label", "g8").put("cpus", 96).put("cards", 8).put("ram_gb", 768.5);
    type.put("local_gb", 200).put("pull_gb_per_s", 1.5);
    type.put("rate", 12.0).put("market_price", 4.5).put("startup_s", 45.5);
    type.putArray("yards").add("a").add("b");
    return Json.write(catalog);
  }

  private static String provisioned() {
    ObjectNode response = Json.object();
    ArrayNode machines = response.putArray("hosts");
    MACHINES.forEach(machine -> machines.add(machine.value()));
    return Json.write(response);
  }

  private static String list() {
    ObjectNode page = Json.object();
    ArrayNode machines = page.putArray("hosts");
    for (String phase : List.of("booting", "running", "failed")) {
      ObjectNode machine = machines.addObject();
      machine.put("ref", "i-" + phase).put("addr", "10.1.0.232:9000").put("build", "g8");
      machine.put("yard", "a").put("loaner", phase.equals("running")).put("phase", phase);
      machine.put("held_s", 61.5);
    }
    page.put("more", true);
    return Json.write(page);
  }

  private static Set<String> messageNames() {
    return messages().keySet();
  }

  @ParameterizedTest
  @MethodSource("messageNames")
  void messagesMatchGoldenFiles(String name) {
    GoldenFile.assertHolds(file(name), messages().get(name));
  }

  @Test
  void pathsMatchGoldenFile() {
    GoldenFile.assertHolds(
        DIRECTORY + "paths.txt",
        String.join(
            "\n",
            CloudCodec.CATALOG_PATH,
            CloudCodec.MACHINES_PATH,
            CloudCodec.DELETE_PATH,
            CloudCodec.machineListPath(Optional.empty()),
            CloudCodec.machineListPath(Optional.of(MACHINES.get(0)))));
  }

  @Test
  void parsesGoldenCatalog() throws MalformedMessageException {
    MachineType expected =
        new MachineType(
            TYPE,
            new Resources(96, 8, 768.5),
            200,
            1.5,
            12,
            4.5,
            Duration.ofMillis(45_500),
            List.of(ZONE, new ZoneId("b")));
    assertEquals(Map.of(TYPE, expected), CloudCodec.parseCatalog(GoldenFile.text(file("catalog"))));
  }

  @Test
  void parsesGoldenProvisioningResponse() throws MalformedMessageException {
    assertEquals(MACHINES, CloudCodec.parseProvisioningResponse(GoldenFile.text(file("rented"))));
  }

  @Test
  void parsesGoldenMachineList() throws MalformedMessageException {
    List<CloudMachine> expected =
        List.of(
            machine("i-booting", false, Phase.BOOTING),
            machine("i-running", true, Phase.RUNNING),
            machine("i-failed", false, Phase.FAILED));
    assertEquals(
        new CloudCodec.Page(expected, true),
        CloudCodec.parseMachineList(GoldenFile.text(file("list"))));
  }

  private static CloudMachine machine(String id, boolean spot, Phase phase) {
    return new CloudMachine(
        new MachineId(id), "10.1.0.232:9000", TYPE, ZONE, spot, phase, Duration.ofMillis(61_500));
  }
}
