package org.mulleinshift.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.avro.Schema;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.GoldenFile;
import org.mulleinshift.protocol.peer.PeerFrame;

/**
 * Guards against accidental changes of the encoding of peer frames: controllers of an earlier
 * build, which wrote the golden files, could not decode them.
 */
class PeerFrameGoldenTest {
  private static final String DIRECTORY = "peer";
  private static final String SENDER = "n-1";
  private static final int BODIES_FIELD = 1;

  private final PeerCodec codec = new PeerCodec();

  private static String file(String name) {
    return DIRECTORY + "/" + name + ".hex";
  }

  private static Set<String> names() {
    return PeerFrameSamples.all().keySet();
  }

  @ParameterizedTest
  @MethodSource("names")
  void isEncodedToTheGoldenBytes(String name) {
    byte[] frame = codec.write(new NodeId(SENDER), PeerFrameSamples.all().get(name));
    GoldenFile.assertHolds(file(name), frame);
  }

  @ParameterizedTest
  @MethodSource("names")
  void isDecodedFromTheGoldenBytes(String name) throws MalformedMessageException {
    PeerFrame frame = codec.read(GoldenFile.bytes(file(name)));
    assertEquals(SENDER, frame.getSender());
    assertEquals(PeerFrameSamples.all().get(name), frame.getBodies());
  }

  @ParameterizedTest
  @MethodSource("names")
  void isWrittenBackByteForByte(String name) throws MalformedMessageException {
    byte[] golden = GoldenFile.bytes(file(name));
    PeerFrame frame = codec.read(golden);
    assertArrayEquals(golden, codec.write(new NodeId(frame.getSender()), frame.getBodies()));
  }

  @Test
  void everyKindOfBodyHasASample() {
    List<Schema> kinds =
        PeerFrame.getClassSchema()
            .getFields()
            .get(BODIES_FIELD)
            .schema()
            .getElementType()
            .getTypes();
    Set<Schema> sampled =
        PeerFrameSamples.all().values().stream()
            .flatMap(List::stream)
            .map(body -> ((SpecificRecord) body).getSchema())
            .collect(Collectors.toSet());
    assertEquals(Set.copyOf(kinds), sampled);
  }

  @Test
  void everyGoldenFileHasASample() throws IOException {
    Map<String, List<Object>> samples = PeerFrameSamples.all();
    Set<String> expected =
        Stream.concat(samples.keySet().stream(), Stream.of("phases", "worker-links"))
            .map(name -> name + ".hex")
            .collect(Collectors.toSet());
    assertEquals(expected, GoldenFile.names(DIRECTORY));
  }
}
