package org.mulleinshift.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.mulleinshift.protocol.peer.PeerFrame;

/** Encodes and decodes the frames between controllers in Avro binary form, see peer.avsc. */
public final class PeerCodec {
  private static final int INITIAL_BUFFER_BYTES = 512;

  static {
    // Avro instantiates only classes of trusted packages.
    System.setProperty("org.apache.avro.SERIALIZABLE_PACKAGES", PeerFrame.class.getPackageName());
  }

  private final SpecificDatumWriter<PeerFrame> writer = new SpecificDatumWriter<>(PeerFrame.class);
  private final SpecificDatumReader<PeerFrame> reader = new SpecificDatumReader<>(PeerFrame.class);

  /** Encodes a frame with the given bodies, which must be messages of the peer schema. */
  public byte[] write(NodeId sender, List<Object> bodies) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
    try {
      writer.write(new PeerFrame(sender.value(), bodies), encoder);
      encoder.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }

  /**
   * Decodes a frame.
   *
   * @throws MalformedMessageException if the bytes are not a valid frame
   */
  public PeerFrame read(byte[] frame) throws MalformedMessageException {
    try {
      return reader.read(null, DecoderFactory.get().binaryDecoder(frame, null));
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a peer frame");
    }
  }
}
