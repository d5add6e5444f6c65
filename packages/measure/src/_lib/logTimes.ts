/** Reads the times of events from the daemons' logs, which is exact to the millisecond and puts no load on the daemons. */
import * as fs from 'node:fs'

const EVENT_LINE = /^time=(\S+) .*\bevent=(\S+)/

/** Returns the times of an event in a log file, in milliseconds since the epoch; only lines that contain `mustContain` count. */
export function readEventTimes (logFile: string, event: string, mustContain = ''): number[] {
  return fs.readFileSync(logFile, 'utf8').split('\n').flatMap((line) => {
    const match = EVENT_LINE.exec(line)
    return match?.[2] === event && line.includes(mustContain) ? [Date.parse(match[1] ?? '')] : []
  })
}
