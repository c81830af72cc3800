package org.mulleinshift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.mulleinshift.protocol.StoreCodec.Change;
import org.mulleinshift.protocol.StoreCodec.Changes;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Range;
import org.mulleinshift.protocol.StoreCodec.Write;

/**
 * Guards against accidental changes of the store's wire format: requests must be written, and
 * responses parsed, as by the earlier build that wrote the golden files.
 */
class StoreMessageGoldenTest {
  private static final String DIRECTORY = "state/";
  private static final LeaseId LEASE = new LeaseId(7);
  private static final Revision REVISION = new Revision(433);

  private static String file(String name) {
    return DIRECTORY + name + ".json";
  }

  private static Map<String, String> messages() {
    List<Compare> compares =
        List.of(new Compare("a/b", new Revision(0)), new Compare("c/leader", new Revision(412)));
    List<Write> writes =
        List.of(
            Write.put("a/b", value()), Write.put("c/n/n-1", value(), LEASE), Write.delete("c/d"));
    Map<String, String> messages = new LinkedHashMap<>();
    messages.put("commit", StoreCodec.writeTransaction(compares, writes));
    messages.put("commit-comparing-only", StoreCodec.writeTransaction(compares, List.of()));
    messages.put("commit-without-guards", StoreCodec.writeTransaction(List.of(), writes));
    messages.put("lease-request", StoreCodec.writeLeaseRequest(Duration.ofSeconds(5)));
    messages.put("lease", Json.write(Json.object().put("hold", 7)));
    messages.put("committed", Json.write(Json.object().put("epoch", 433)));
    messages.put("key", Json.write(row("a/b", 412).put("hold", 7)));
    messages.put("keys", keys());
    messages.put("changes", changes());
    return messages;
  }

  private static JsonNode value() {
    return Json.object().put("name", "caf\u00e9 \"\\\n").put("amount", 4.0).put("count", 1L << 53);
  }

  private static ObjectNode row(String key, long revision) {
    ObjectNode row = Json.object().put("k", key);
    row.set("value", value());
    return row.put("stamp", revision);
  }

  private static String keys() {
    ObjectNode page = Json.object();
    page.putArray("rows").add(row("a/b", 412)).add(row("a/c", 413));
    return Json.write(page.put("more", true).put("epoch", 433));
  }

  private static String changes() {
    ObjectNode response = Json.object().put("epoch", 433);
    ArrayNode changes = response.putArray("news");
    ObjectNode put = changes.addObject().put("set", "c/9");
    put.set("value", value());
    put.put("stamp", 433);
    changes.addObject().put("delete", "c/d").put("stamp", 432);
    return Json.write(response);
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
            StoreCodec.COMMIT_PATH,
            StoreCodec.LEASES_PATH,
            StoreCodec.keyPath("c/n/n-1"),
            StoreCodec.rangePath("a/", Optional.empty()),
            StoreCodec.rangePath("a/", Optional.of("a/run-1")),
            StoreCodec.watchPath("c/", REVISION, Duration.ofSeconds(10)),
            StoreCodec.renewLeasePath(LEASE),
            StoreCodec.leasePath(LEASE)));
  }

  @Test
  void parsesGoldenLease() throws MalformedMessageException {
    assertEquals(LEASE, StoreCodec.parseLeaseId(GoldenFile.text(file("lease"))));
  }

  @Test
  void parsesGoldenRevision() throws MalformedMessageException {
    assertEquals(REVISION, StoreCodec.parseRevision(GoldenFile.text(file("committed"))));
  }

  @Test
  void parsesGoldenKey() throws MalformedMessageException {
    KeyValue expected = new KeyValue("a/b", stored(), new Revision(412));
    assertEquals(expected, StoreCodec.parseKeyValue(GoldenFile.text(file("key"))));
  }

  @Test
  void parsesGoldenPageOfKeys() throws MalformedMessageException {
    List<KeyValue> items =
        List.of(
            new KeyValue("a/b", stored(), new Revision(412)),
            new KeyValue("a/c", stored(), new Revision(413)));
    assertEquals(
        new Range(items, true, REVISION), StoreCodec.parseRange(GoldenFile.text(file("keys"))));
  }

  @Test
  void parsesGoldenChanges() throws MalformedMessageException {
    List<Change> expected =
        List.of(
            new Change("c/9", Optional.of(stored()), REVISION),
            new Change("c/d", Optional.empty(), new Revision(432)));
    assertEquals(
        new Changes(expected, REVISION), StoreCodec.parseChanges(GoldenFile.text(file("changes"))));
  }

  private static JsonNode stored() throws MalformedMessageException {
    return Json.parseObject(Json.write(value()));
  }
}
