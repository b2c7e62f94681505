import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Temporary folders, deleted at the end of the program unless the property "keep" is set. */
final class Folders {
    private Folders() {}

    static Path temporary() throws IOException {
        Path folder = Files.createTempDirectory("review");
        if (System.getProperty("keep") == null) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
        } else {
            System.err.println(folder);
        }
        return folder;
    }

    private static void delete(Path folder) {
        try (Stream<Path> found = Files.walk(folder)) {
            List<Path> paths = found.sorted(Comparator.reverseOrder()).toList();
            for (Path path : paths) {
                Files.deleteIfExists(path);
            }
        } catch (IOException kept) {
            System.err.println("not deleted: " + folder + ": " + kept);
        }
    }
}
