package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * The build creates its CDS archive from the training run; a failed run would not be noticed and
 * would make starts slow.
 */
class ClassArchiveTrainingTest {
    @Test
    void everyCommandOfTheTrainingRunIsAnswered() throws Exception {
        assertEquals(109, ClassArchiveTraining.run());
    }
}
