package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * The build archives the classes that the training run loads; a failed run would go unnoticed and
 * leave the start slow.
 */
class ClassArchiveTrainingTest {
    @Test
    void everyCommandOfTheTrainingRunIsAnswered() throws Exception {
        assertEquals(109, ClassArchiveTraining.run());
    }
}
