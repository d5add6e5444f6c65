/** Shows the progress of the demo: progress bars on a terminal, plain lines otherwise. */
import * as cliProgress from 'cli-progress'

/** Displays how many replicas serve a version. */
export interface ProgressDisplay {
  readonly update: (serving: number, note: string) => void
  readonly stop: () => void
}

/** Creates the display for one version. */
export function createProgressDisplay (title: string, replicas: number, isPlain: boolean): ProgressDisplay {
  return isPlain ? createLines(title, replicas) : createBar(title, replicas)
}

function createBar (title: string, replicas: number): ProgressDisplay {
  const bar = new cliProgress.SingleBar({ format: `${title} {bar} {value}/{total} replicas serving  {note}`, hideCursor: true }, cliProgress.Presets.shades_classic)
  bar.start(replicas, 0, { note: '' })
  return { update: (serving, note) => { bar.update(serving, { note }) }, stop: () => { bar.stop() } }
}

function createLines (title: string, replicas: number): ProgressDisplay {
  let lastServing = -1
  return {
    update: (serving, note) => {
      if (serving === lastServing) return
      lastServing = serving
      process.stdout.write(`${title}: ${serving}/${replicas} replicas serving  ${note}\n`)
    },
    stop: () => {}
  }
}
