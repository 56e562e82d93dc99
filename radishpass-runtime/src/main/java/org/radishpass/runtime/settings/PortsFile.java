package org.radishpass.runtime.settings;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/**
 * Writes the ports on which a process listens to a file, for the program that started the process.
 *
 * @since 0.1.0
 */
public final class PortsFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PortsFile() {
        // static methods only
    }

    /**
     * Writes the file atomically, so that a reader never sees a part of the content.
     *
     * @param file the file
     * @param content the ports by name, written as JSON
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, Map<String, ?> content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".draft");
        Files.write(temporary, JSON.writeValueAsBytes(content));
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
