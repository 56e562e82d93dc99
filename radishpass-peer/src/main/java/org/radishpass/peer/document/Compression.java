package org.radishpass.peer.document;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses documents with zlib (RFC 1950). The level is the fastest, because a router may have only an eighth of a
 * core.
 */
final class Compression {
    /**
     * The size of the largest document that is decompressed, in bytes: four times the largest value that the store
     * accepts.
     */
    static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16_384;

    private Compression() {
        // static methods only
    }

    static byte[] compress(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4 + BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses the output of {@link #compress}.
     *
     * @throws IOException if the input is malformed or truncated, or the document is larger than {@link
     *     #MAX_DOCUMENT_BYTES}
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(4 * compressed.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new IOException("the compressed document is truncated");
                }
                out.write(buffer, 0, count);
                if (out.size() > MAX_DOCUMENT_BYTES) {
                    throw new IOException("the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("the compressed document is malformed", e);
        } finally {
            inflater.end();
        }
    }
}
