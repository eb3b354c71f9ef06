use flamingostand::journal;
use flamingostand::platform::PlatformRequest;
use flamingostand::schema::JournalEntry;

pub fn describe(request: &PlatformRequest) -> String {
    match request {
        PlatformRequest::Create { key, value } | PlatformRequest::Update { key, value, .. } => {
            if key.starts_with("slot/") {
                let object: Result<flamingostand::schema::SlotObject, _> = journal::decode(value);
                return format!("{key} {object:?}");
            }
            let entry: Result<JournalEntry, _> = journal::decode(value);
            format!("{key} {}", brief(&entry))
        }
        PlatformRequest::Get { key } | PlatformRequest::Delete { key } => key.clone(),
        _ => String::new(),
    }
}

pub fn brief(action: &impl std::fmt::Debug) -> String {
    let mut text = format!("{action:?}");
    let end = text.char_indices().nth(400).map_or(text.len(), |(index, _)| index);
    text.truncate(end);
    text
}
