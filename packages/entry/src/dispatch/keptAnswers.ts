import type * as upstreams from "@boragedale/upstreams";

/** Characters kept over all answers; about as many bytes. */
const MostCharacters = 16_000_000;

/**
 * Text of batch answers that gave way to online work, until they resume. Losing one costs the work of generating it
 * again and nothing else, so the oldest are dropped when there are too many.
 */
export class KeptAnswers {
    private readonly answers = new Map<string, upstreams.ResumePoint>();
    private characters = 0;

    keep(request: string, answer: upstreams.ResumePoint): void {
        this.take(request);
        this.answers.set(request, answer);
        this.characters += answer.text.length;
        for (const oldest of this.answers.keys()) {
            if (this.characters <= MostCharacters) {
                break;
            }
            this.take(oldest);
        }
    }

    /** Takes the answer out: whoever resumes it keeps it again if it gives way once more. */
    take(request: string): upstreams.ResumePoint | undefined {
        const answer = this.answers.get(request);
        if (answer !== undefined) {
            this.answers.delete(request);
            this.characters -= answer.text.length;
        }
        return answer;
    }
}
